package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/prompt"
)

// Link stands for a prompt's beginning up to the end of one shared part: a part is kept
// by an engine only together with all parts before it.
type Link struct {
	Key    uint64
	Tokens int
}

// Chain gives the links of a prompt's shared parts, shortest first. Tokens add up.
func Chain(p *prompt.Prompt) []Link {
	if p == nil {
		return nil
	}
	shared := p.Shared()
	links := make([]Link, 0, len(shared))
	key := xxhash.Sum64String(p.Model)
	tokens := 0
	for _, part := range shared {
		key = key*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(part.ID)
		tokens += part.Tokens
		links = append(links, Link{Key: key, Tokens: tokens})
	}
	return links
}
