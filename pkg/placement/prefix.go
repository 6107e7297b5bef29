package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/prompt"
)

// Prefix identifies a prefix of a prompt that ends with one of its shared parts. An engine keeps a
// part in its cache only together with all parts before it.
type Prefix struct {
	Key    uint64
	Tokens int
}

// Prefixes returns the shared prefixes of a prompt, shortest first. Tokens are cumulative.
func Prefixes(p *prompt.Prompt) []Prefix {
	if p == nil {
		return nil
	}
	shared := p.SharedParts()
	prefixes := make([]Prefix, 0, len(shared))
	key := xxhash.Sum64String(p.Model)
	tokens := 0
	for _, part := range shared {
		key = key*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(part.ID)
		tokens += part.Tokens
		prefixes = append(prefixes, Prefix{Key: key, Tokens: tokens})
	}
	return prefixes
}
