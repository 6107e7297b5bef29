package placement

import "github.com/flamingowind/flamingowind/pkg/prompt"

// Work is what one request demands of an instance.
type Work struct {
	// Prompt is nil for calls of plain services.
	Prompt *prompt.Prompt
	// Unread is the expected number of prompt tokens to prefill, in tokens of a short prompt.
	Unread int
	// Fragile is the request's weight if it is a stream that a long pause makes late. Long is
	// whether its prefill makes the streams beside it pause for too long.
	Fragile int
	Long    bool
}

// Memory is the number of KV cache tokens that the request holds when it ends.
func (w Work) Memory() int {
	if w.Prompt == nil {
		return 0
	}
	return w.Prompt.Input + w.Prompt.Output()
}
