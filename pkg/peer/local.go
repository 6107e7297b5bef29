package peer

import (
	"context"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// local hands a router's messages to itself over, without codec and wire.
type local struct {
	self     wire.RouterID
	handler  Handler
	messages chan Message
	counters *counters
}

func newLocal(self wire.RouterID, h Handler, limit int, c *counters) *local {
	return &local{self: self, handler: h, messages: make(chan Message, limit), counters: c}
}

// send never blocks: like for peers, the oldest message goes when the queue is full.
func (l *local) send(m Message) {
	for {
		select {
		case l.messages <- m:
			return
		default:
		}
		select {
		case <-l.messages:
			l.counters.dropped.Add(1)
		default:
		}
	}
}

// run hands frames over until ctx ends.
func (l *local) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.messages:
			l.handler.HandleFrame(l.self, l.frame(m))
		}
	}
}

// frame gathers what waits at this moment.
func (l *local) frame(first Message) *wire.Frame {
	f := new(wire.Frame)
	first(f)
	for range maxBatch - 1 {
		select {
		case m := <-l.messages:
			m(f)
		default:
			return f
		}
	}
	return f
}
