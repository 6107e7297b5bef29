package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// blockBytes is the unit of the prefix cache, in bytes of the prompt.
	blockBytes = 64
	// blocksPerStep is how many blocks of a prompt one step reads.
	blocksPerStep = 16
)

// blockHashes returns a hash for each whole block of the prompt; each covers all
// text up to its end, so that equal hashes mean equal prefixes.
func blockHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end]) // never fails
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// prefixCache holds the blocks of prompts in limited memory, the least used go first.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	events *cacheEvents
}

func newPrefixCache(events *cacheEvents) *prefixCache {
	c := &prefixCache{events: events}
	c.clear()
	return c
}

// clear forgets all blocks, as a restart does.
func (c *prefixCache) clear() {
	onEvict := func(block uint64, _ struct{}) { c.events.add(cacheRemoved, block) }
	blocks, err := simplelru.NewLRU[uint64, struct{}](cacheBlocks, onEvict)
	if err != nil {
		panic(err) // only a size under 1 is an error
	}
	c.blocks = blocks
}

// hit returns how many of the first blocks are cached, and marks them as used.
func (c *prefixCache) hit(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

// store caches the blocks.
func (c *prefixCache) store(blocks []uint64) {
	for _, b := range blocks {
		if !c.blocks.Contains(b) {
			c.events.add(cacheStored, b)
		}
		c.blocks.Add(b, struct{}{})
	}
}

// prefillSteps returns the steps that a prompt takes before its first token.
func (c *prefixCache) prefillSteps(blocks []uint64) int {
	missing := len(blocks) - c.hit(blocks)
	return (missing + blocksPerStep - 1) / blocksPerStep
}

// exportBlocks returns the blocks as an opaque blob.
func exportBlocks(blocks []uint64) []byte {
	blob := make([]byte, 0, 8*len(blocks))
	for _, b := range blocks {
		blob = binary.LittleEndian.AppendUint64(blob, b)
	}
	return blob
}

// importBlocks reads such a blob; it reports false when it isn't one.
func importBlocks(blob []byte) ([]uint64, bool) {
	if len(blob)%8 != 0 || len(blob) > 8*cacheBlocks {
		return nil, false
	}
	blocks := make([]uint64, 0, len(blob)/8)
	for ; len(blob) > 0; blob = blob[8:] {
		blocks = append(blocks, binary.LittleEndian.Uint64(blob))
	}
	return blocks, true
}
