package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// request is one caller's request on its way through the gateway.
type request struct {
	// ctx ends with the caller's connection, from the first attempt on also at end.
	ctx     context.Context
	cancel  context.CancelFunc
	in      *http.Request
	w       http.ResponseWriter
	ask     Ask
	start   time.Time
	end     time.Time // when the final answer is due
	version int64
	route   *routing.Route
	org     string
	service *routing.Service
	body    []byte
	// memory holds the body when it is used again after the request.
	memory *[]byte
	// content stands for what would run.
	content uint64
	chain   []placement.Link
	tried   map[upstream.ID]bool
	// cutter holds the stream's events over all attempts; begun is set once the caller
	// has the head of its answer.
	cutter *forward.Events
	begun  bool
	// standing is how the organisation stands.
	standing placement.Standing
	trail    trail
}

// left is how long an upstream may still work.
func (r *request) left(now time.Time) time.Duration { return r.end.Sub(now) }

// limitTime makes the request end in time. A request that is refused before its first attempt
// does without: that saves 0.6 KB and 7 allocations of its 5.5 KB and 79.
func (r *request) limitTime() {
	if r.cancel == nil {
		r.ctx, r.cancel = context.WithDeadline(r.ctx, r.end)
	}
}

// release ends the use of what the request holds.
func (r *request) release() {
	if r.cancel != nil {
		r.cancel()
	}
	r.giveBack()
}
