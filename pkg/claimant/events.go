package claimant

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// event is one turn's input of the duty.
type event interface {
	apply(m *machine, now time.Time)
}

// joined is a caller's request, left its withdrawal.
type joined struct{ ticket *ticket }
type left struct{ ticket *ticket }

// ended is a slot given back by its caller.
type ended struct {
	slot        *slot
	outcome     wire.Outcome
	first, step time.Duration
}

// granted, refused and stated are a keeper's messages.
type granted struct {
	from  wire.RouterID
	grant wire.Grant
}
type refused struct {
	from    wire.RouterID
	refusal wire.Refusal
}
type stated struct {
	from  wire.RouterID
	state wire.CellState
}

// restarted says that a router came back with no state.
type restarted struct{ router wire.RouterID }

func (e joined) apply(m *machine, now time.Time)    { m.join(now, e.ticket) }
func (e left) apply(m *machine, _ time.Time)        { m.leave(e.ticket) }
func (e ended) apply(m *machine, _ time.Time)       { m.end(e) }
func (e granted) apply(m *machine, now time.Time)   { m.grant(now, e.from, e.grant) }
func (e refused) apply(m *machine, now time.Time)   { m.refusal(now, e.from, e.refusal) }
func (e stated) apply(m *machine, now time.Time)    { m.state(now, e.from, e.state) }
func (e restarted) apply(m *machine, now time.Time) { m.restarted(now, e.router) }
