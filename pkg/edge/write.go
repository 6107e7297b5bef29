package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// writePiece is the most that is written under one write deadline, in bytes.
const writePiece = 64 << 10

// closeWhenDraining makes callers on kept-alive connections look for another router.
func (e *Edge) closeWhenDraining(h http.Header) {
	if _, draining := e.flight.state(); draining {
		h.Set("Connection", "close")
	}
}

// write sends a whole answer with its declared length.
func (e *Edge) write(w http.ResponseWriter, status int, contentType string, v verdict.Verdict, body []byte) {
	h := w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(verdict.Header, v.String())
	if status != http.StatusNoContent && status != http.StatusNotModified && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	e.closeWhenDraining(h)
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(e.limits.Load().WriteTimeout))
	w.WriteHeader(status)
	for len(body) > 0 {
		n := min(len(body), writePiece)
		_ = control.SetWriteDeadline(time.Now().Add(e.limits.Load().WriteTimeout))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}
