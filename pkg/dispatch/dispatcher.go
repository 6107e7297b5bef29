package dispatch

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Dispatcher sends attempts over pooled connections. It is safe for concurrent use.
type Dispatcher struct {
	limits    Limits
	transport *http.Transport
	// responses bounds the memory of all responses.
	responses *buffers.Budget
	// onNotice is set by OnNotice.
	onNotice func(name string, n upstream.Notice)
}

// New returns a Dispatcher.
func New(l Limits) *Dispatcher {
	return &Dispatcher{limits: l, transport: newTransport(), responses: buffers.NewBudget(l.MaxResponses)}
}

// SetMaxResponses changes the limit of the memory of all responses, in bytes.
func (d *Dispatcher) SetMaxResponses(bytes int64) { d.responses.SetLimit(bytes) }

// Close closes idle connections.
func (d *Dispatcher) Close() { d.transport.CloseIdleConnections() }

// Do runs call once on slot's upstream and releases the slot. ctx ends when the caller leaves. A
// stream is written to sink as it arrives; any other response is in the Result, which holds its memory until Release.
func (d *Dispatcher) Do(ctx context.Context, slot sched.Slot, call *Call, sink Sink) Result {
	a := &attempt{d: d, ctx: ctx, slot: slot, call: call, sink: sink, id: uuid.NewString(), lease: d.responses.Lease()}
	a.gate = &gate{start: slot.Start}
	a.meter = meter{slot: slot, onGap: call.OnEventGap}
	r := a.run()
	r.Attempt, r.Upstream, r.ResponseStarted = a.id, slot.Upstream(), a.sinkBegun
	if r.lease = a.lease; r.Body == nil {
		r.Release()
	}
	slot.Done(r.Outcome, r.Cost, r.TimeToFirst, r.EventInterval)
	return r
}
