package claimant

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// event is an input of the event loop.
type event interface {
	apply(m *stateMachine, now time.Time)
}

// joinEvent is a new request of a caller, leaveEvent its withdrawal.
type joinEvent struct{ waiter *waiter }
type leaveEvent struct{ waiter *waiter }

// doneEvent is a slot released by its caller.
type doneEvent struct {
	slot                      *slot
	outcome                   wire.Outcome
	firstToken, tokenInterval time.Duration
}

// grantEvent, refusalEvent and stateEvent are messages from a keeper.
type grantEvent struct {
	from  wire.RouterID
	grant wire.Grant
}
type refusalEvent struct {
	from    wire.RouterID
	refusal wire.Refusal
}
type stateEvent struct {
	from  wire.RouterID
	state wire.CellState
}

// restartEvent says that a router restarted without its state.
type restartEvent struct{ router wire.RouterID }

func (e joinEvent) apply(m *stateMachine, now time.Time)    { m.addWaiter(now, e.waiter) }
func (e leaveEvent) apply(m *stateMachine, _ time.Time)     { m.removeWaiter(e.waiter) }
func (e doneEvent) apply(m *stateMachine, _ time.Time)      { m.release(e) }
func (e grantEvent) apply(m *stateMachine, now time.Time)   { m.handleGrant(now, e.from, e.grant) }
func (e refusalEvent) apply(m *stateMachine, now time.Time) { m.handleRefusal(now, e.from, e.refusal) }
func (e stateEvent) apply(m *stateMachine, now time.Time)   { m.handleState(now, e.from, e.state) }
func (e restartEvent) apply(m *stateMachine, now time.Time) { m.handleRestart(now, e.router) }
