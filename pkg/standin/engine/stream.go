package engine

import (
	"context"
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

// maxBatch bounds the events of one write, when a reader has fallen behind.
const maxBatch = 64

// stream sends one attempt's events from one number on, each as soon as it is there.
type stream struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	chunks  chunks
	next    int // number of the next event
	buf     []byte

	// breakAt and endAt are the numbers of the events before which the connection is
	// broken off or cleanly ended; -1: never.
	breakAt int
	endAt   int
	// surplus adds events after the last.
	surplus bool
}

func newStream(w http.ResponseWriter, a *attempt, from int) *stream {
	s := &stream{
		w: w, flusher: http.NewResponseController(w), chunks: newChunks(a),
		next: from, breakAt: -1, endAt: -1, surplus: a.surplus,
	}
	if a.truncate {
		s.endAt = a.total / 2
	}
	return s
}

// run sends events until the stream ends or its reader goes.
func (s *stream) run(ctx context.Context, watcher <-chan struct{}) {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	if s.flusher.Flush() != nil {
		return
	}
	for s.sendReady() {
		select {
		case <-watcher:
		case <-ctx.Done():
			return
		}
	}
}

// sendReady sends what is there and reports whether more will come.
func (s *stream) sendReady() bool {
	phase, ready := s.chunks.attempt.progress()
	if phase == finished {
		ready = s.chunks.count()
	}
	for s.next < ready {
		if s.next == s.breakAt {
			reply.BreakOff()
		}
		if s.next == s.endAt || !s.sendBatch(ready) {
			return false
		}
	}
	if s.next >= s.chunks.count() {
		s.sendSurplus()
		return false
	}
	if phase > finished {
		reply.BreakOff() // cancelled or crashed: must not look like a whole answer
	}
	return true
}

// sendBatch sends events up to ready, or to the next fault, in one write.
func (s *stream) sendBatch(ready int) bool {
	end := min(ready, s.next+maxBatch)
	for _, stop := range []int{s.breakAt, s.endAt} {
		if stop > s.next {
			end = min(end, stop)
		}
	}
	s.buf = s.buf[:0]
	for ; s.next < end; s.next++ {
		s.buf = s.chunks.append(s.buf, s.next)
	}
	return s.send()
}

func (s *stream) sendSurplus() {
	if !s.surplus {
		return
	}
	s.buf = s.chunks.append(s.buf[:0], 1)
	s.send()
}

func (s *stream) send() bool {
	if _, err := s.w.Write(s.buf); err != nil {
		return false
	}
	return s.flusher.Flush() == nil
}
