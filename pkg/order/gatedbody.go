package order

import (
	"io"
	"sync/atomic"
)

// gatedBody is the body of an order. Its first read asks whether the lease still holds.
//
// Guard: connecting takes time, in which a paused router's lease lapses. The body is
// read after the connection stands, and an engine that has only the head of a request
// with a declared length can't act on it.
type gatedBody struct {
	valid   func() bool
	data    io.Reader
	checked bool
	lapsed  atomic.Bool
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.checked && !b.valid() {
		b.lapsed.Store(true)
	}
	b.checked = true
	if b.lapsed.Load() {
		return 0, ErrLapsed
	}
	return b.data.Read(p)
}
