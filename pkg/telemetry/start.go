package telemetry

import (
	"context"
	"io"
	"time"
)

// flushWithin bounds how long the end of a process waits for whoever reads its log.
const flushWithin = time.Second

// StartAsync starts a writer; stop writes what is queued and ends it.
//
// Guard: a reader that has stopped reading would keep a router that has left from ending,
// until its supervisor kills it and the host is free late. It costs the last lines.
func StartAsync(to io.Writer) (w *AsyncWriter, stop func()) {
	w = NewAsyncWriter(to)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() { defer close(written); w.Run(ctx) }()
	return w, func() {
		cancel()
		limit := time.NewTimer(flushWithin)
		defer limit.Stop()
		select {
		case <-written:
		case <-limit.C:
		}
	}
}
