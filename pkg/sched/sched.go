// Package sched is the seam between a request that waits (pkg/edge) and the fleet's
// fair order (pkg/claimant and pkg/keeper). Its types are all that the two sides share.
package sched

import (
	"context"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Request describes one waiting request to the fair order.
type Request struct {
	Org   string
	Class wire.Class
	Pool  string
	// Prefix is a hash of the prompt's head, Content of the whole request; 0 when unknown.
	Prefix  uint64
	Content uint64
	// Deadline is when the request is not worth granting any more.
	Deadline time.Time
	// Exclude names upstreams that this request must not go to again.
	Exclude []string
	// Since is when the request was accepted; a later attempt of the same request keeps
	// it, and so its age. The zero time means now.
	Since time.Time
}

// Slot is the right to run one request on one upstream. Done must be called once.
type Slot interface {
	// Upstream names where the request may run.
	Upstream() string
	// URL is that upstream's base URL.
	URL() string
	// Start is the last step before the first byte is sent: it reports false when the
	// grant has lapsed (the router was paused) or the upstream left meanwhile, and then
	// nothing may be sent.
	Start() bool
	// Progress tells the service delivered so far, in units; it never falls.
	Progress(total wire.Units)
	// Done gives the slot back. first and step are measured times, 0 when unknown.
	Done(outcome wire.Outcome, cost wire.Units, first, step time.Duration)
}

// Scheduler hands out slots in the fleet's fair order.
type Scheduler interface {
	// Acquire waits for a slot until ctx ends or the deadline passes. Its error is a
	// *verdict.Error with verdict NotRun.
	Acquire(ctx context.Context, r Request) (Slot, error)
}
