package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/prompt"
)

// Link identifies a prefix of a prompt that ends with one of its shared parts. An engine keeps a
// part in its cache only together with all parts before it.
type Link struct {
	Key    uint64
	Tokens int
}

// Chain returns the shared prefixes of a prompt, shortest first. Tokens are cumulative.
func Chain(p *prompt.Prompt) []Link {
	if p == nil {
		return nil
	}
	shared := p.Shared()
	prefixes := make([]Link, 0, len(shared))
	key := xxhash.Sum64String(p.Model)
	tokens := 0
	for _, part := range shared {
		key = key*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(part.ID)
		tokens += part.Tokens
		prefixes = append(prefixes, Link{Key: key, Tokens: tokens})
	}
	return prefixes
}
