package placement

import "github.com/flamingowind/flamingowind/pkg/prompt"

// Work is what one request asks of an instance.
type Work struct {
	// Organisation pays for it.
	Organisation string
	// Prompt is nil for calls of plain services.
	Prompt *prompt.Prompt
	// Unread is how many prompt tokens the instance has to read, as far as is known.
	Unread int
}

// Memory is how many tokens of an engine's memory the work fills in the end.
func (w Work) Memory() int {
	if w.Prompt == nil {
		return 0
	}
	return w.Prompt.Input + w.Prompt.Output()
}
