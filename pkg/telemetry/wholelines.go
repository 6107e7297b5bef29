package telemetry

import (
	"bytes"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
)

// wholeLines is a handler in text form that writes each line at once. The form's own
// handler writes it in parts, of which an AsyncWriter could drop some.
type wholeLines struct {
	to io.Writer

	mu   sync.Mutex
	line bytes.Buffer
	form *text.Handler
}

func newWholeLines(to io.Writer) *wholeLines {
	h := &wholeLines{to: to}
	h.form = text.New(&h.line)
	return h
}

// HandleLog implements log.Handler.
func (h *wholeLines) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line.Reset()
	if err := h.form.HandleLog(e); err != nil {
		return err
	}
	_, err := h.to.Write(h.line.Bytes())
	return err
}
