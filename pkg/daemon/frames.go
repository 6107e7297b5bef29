package daemon

import (
	"sync/atomic"

	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// frames hands a frame from a peer to all duties, each of which takes its messages.
// The transport needs it before the duties exist; frames that come earlier are
// dropped, which is safe since every message is sent again.
type frames struct {
	handlers atomic.Pointer[[]peer.Handler]
	marks    atomic.Pointer[func(wire.UpstreamMark)]
}

func newFrames() *frames { return &frames{} }

func (f *frames) set(handlers ...peer.Handler) { f.handlers.Store(&handlers) }

// HandleFrame implements peer.Handler.
func (f *frames) HandleFrame(from wire.RouterID, frame *wire.Frame) {
	if handlers := f.handlers.Load(); handlers != nil {
		for _, h := range *handlers {
			h.HandleFrame(from, frame)
		}
	}
}

// setMarked names the duty that is told of leaving marks.
func (f *frames) setMarked(to func(wire.UpstreamMark)) { f.marks.Store(&to) }

func (f *frames) marked(m wire.UpstreamMark) {
	if to := f.marks.Load(); to != nil {
		(*to)(m)
	}
}
