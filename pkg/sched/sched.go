// Package sched is the interface between a request that waits (pkg/edge) and the fleet's fair
// scheduler (pkg/claimant and pkg/keeper).
package sched

import (
	"context"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Request describes one waiting request to the scheduler.
type Request struct {
	Org   string
	Class wire.Class
	Pool  string
	// PrefixHash is a hash of the prompt's beginning, ContentHash one of the whole request; 0 when
	// unknown.
	PrefixHash  uint64
	ContentHash uint64
	// Deadline is the time after which a grant is useless.
	Deadline time.Time
	// Exclude names upstreams that this request must not be sent to again.
	Exclude []string
	// AcceptedAt is when the request was accepted. A later attempt keeps it, so that the request
	// keeps its age. The zero time means now.
	AcceptedAt time.Time
}

// Slot is the right to run one request on one upstream. Done must be called once.
type Slot interface {
	// Upstream names the upstream where the request may run.
	Upstream() string
	// URL is that upstream's base URL.
	URL() string
	// Start is called right before the first byte is sent. It reports false when the grant has
	// expired (the router was paused) or the upstream has left meanwhile; then nothing may be sent.
	Start() bool
	// Progress reports the service delivered so far; total never decreases.
	Progress(total wire.Units)
	// Done gives the slot back. first and step are measured durations, 0 when unknown.
	Done(outcome wire.Outcome, cost wire.Units, first, step time.Duration)
}

// Scheduler grants slots in the fleet's fair order.
type Scheduler interface {
	// Acquire waits for a slot until ctx ends or the deadline passes. Its error is a *verdict.Error
	// with verdict NotRun.
	Acquire(ctx context.Context, r Request) (Slot, error)
}
