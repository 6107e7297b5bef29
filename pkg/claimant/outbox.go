package claimant

import "github.com/flamingowind/flamingowind/pkg/wire"

// outbox collects the messages of one iteration of the event loop, a frame for each router.
type outbox struct {
	frames map[wire.RouterID]*wire.Frame
}

func (o *outbox) to(r wire.RouterID) *wire.Frame {
	if o.frames == nil {
		o.frames = make(map[wire.RouterID]*wire.Frame)
	}
	f, ok := o.frames[r]
	if !ok {
		f = new(wire.Frame)
		o.frames[r] = f
	}
	return f
}

func (o *outbox) flush(s Sender) {
	for to, f := range o.frames {
		s.Send(to, func(out *wire.Frame) { appendFrame(out, f) })
		delete(o.frames, to)
	}
}

func appendFrame(out, f *wire.Frame) {
	out.Claims = append(out.Claims, f.Claims...)
	out.Cancels = append(out.Cancels, f.Cancels...)
	out.Dones = append(out.Dones, f.Dones...)
	out.Reports = append(out.Reports, f.Reports...)
}
