package placement

import "github.com/flamingowind/flamingowind/pkg/prompt"

// Work is what one request demands of an instance.
type Work struct {
	// Prompt is nil for calls of plain services.
	Prompt *prompt.Prompt
	// PrefillTokens is the expected number of prompt tokens to prefill, in tokens of a short
	// prompt.
	PrefillTokens int
	// PauseWeight is the request's weight if it is a stream that a long pause makes late.
	// LongPrompt is whether its prefill makes the streams beside it pause for too long.
	PauseWeight int
	LongPrompt  bool
}

// KVTokens is the number of KV cache tokens that the request holds when it ends.
func (w Work) KVTokens() int {
	if w.Prompt == nil {
		return 0
	}
	return w.Prompt.Input + w.Prompt.PlannedOutput()
}
