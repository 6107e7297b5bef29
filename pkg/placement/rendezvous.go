package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// score ranks instances for a key: all routers agree on the order without a word, and
// an instance that comes or goes moves only its own keys.
func score(key uint64, id upstream.ID) uint64 {
	h := key ^ xxhash.Sum64String(string(id))
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
