package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/forward"
)

// readEnding is how a request ended that was read whole.
type readEnding int

// Endings of requests that were read whole.
const (
	// readAnswered: its response was written to the end.
	readAnswered readEnding = iota
	readCallerLeft
	// readUpstreamBroken: the upstream broke its response off.
	readUpstreamBroken
	readDeadline
	// readRouterStopped: the process closed its connections.
	readRouterStopped
	// readCut: this router broke the response off for another reason.
	readCut
	readPanicked
	readEndingCount
)

var readEndingNames = [readEndingCount]string{"answered", "caller_left", "upstream_broken", "deadline", "router_stopped", "cut", "panic"}

// readEndings counts how requests that were read whole ended.
type readEndings struct {
	ended [readEndingCount]atomic.Int64
	// cutAfterSent counts those without a whole response that upstreams may have got.
	cutAfterSent atomic.Int64
	// atDrain holds what was counted when draining began.
	atDrain atomic.Pointer[readTotals]
}

type readTotals struct {
	ended        [readEndingCount]int64
	cutAfterSent int64
}

func (e *readEndings) totals() readTotals {
	var t readTotals
	for i := range e.ended {
		t.ended[i] = e.ended[i].Load()
	}
	t.cutAfterSent = e.cutAfterSent.Load()
	return t
}

func (e *readEndings) beginDrain() {
	t := e.totals()
	e.atDrain.Store(&t)
}

// record counts how r ended.
func (e *readEndings) record(r *request, ending readEnding) {
	e.ended[ending].Add(1)
	if ending != readAnswered && r.sentAttempts() > 0 {
		e.cutAfterSent.Add(1)
	}
}

// DrainSummary returns how the requests ended that ended since draining began and had been read whole.
// unfinished counts those that are still being served.
func (g *Gateway) DrainSummary() log.Fields {
	now, before := g.reads.totals(), readTotals{}
	if at := g.reads.atDrain.Load(); at != nil {
		before = *at
	}
	f := log.Fields{"event": "requests_at_stop", "unfinished": g.active.Load(), "cut_after_sent": now.cutAfterSent - before.cutAfterSent}
	read := int64(0)
	for i, name := range readEndingNames {
		n := now.ended[i] - before.ended[i]
		read += n
		f[name] = n
	}
	f["read"] = read
	return f
}

// recordReadEnding counts how r ended if it was read whole.
func (g *Gateway) recordReadEnding(r *request, now time.Time) {
	if !r.readWhole {
		return
	}
	ending := g.readEndingOf(r, now)
	g.reads.record(r, ending)
	g.metrics.reads.count(readEndingNames[ending], connectionOf(r.in))
}

func (g *Gateway) readEndingOf(r *request, now time.Time) readEnding {
	gone := r.callerGone() || r.logRecord.outcome == outcomeCallerLeft
	switch {
	case r.logRecord.outcome == outcomeRouterStopped, gone && g.stopped.Load():
		return readRouterStopped
	case gone:
		return readCallerLeft
	case r.returned:
		return readAnswered
	case !r.deadline.IsZero() && !now.Before(r.deadline):
		return readDeadline
	case r.brokenByUpstream():
		return readUpstreamBroken
	case r.logRecord.outcome == outcomeCutShort:
		return readCut
	}
	return readPanicked
}

// brokenByUpstream reports whether the last attempt failed because its upstream broke off.
func (r *request) brokenByUpstream() bool {
	n := len(r.logRecord.attempts)
	if n == 0 {
		return false
	}
	last := r.logRecord.attempts[n-1]
	return (last.Outcome == outcomeBroken || last.Outcome == outcomeUpstreamFailure) && last.Ending != forward.EndedByAbort
}

// connectionOf returns whether the request was the first one on its connection.
func connectionOf(in *http.Request) string {
	if c, ok := in.Context().Value(connKey{}).(*callerConn); ok && c.requests.Load() > 1 {
		return "kept"
	}
	return "new"
}

// Stop notes that the process closes its callers' connections: requests that end without a response from
// now on are cut by that.
func (g *Gateway) Stop() { g.stopped.Store(true) }

// cutOutcome returns the outcome of a request that ends because its caller's connection is closed.
func (g *Gateway) cutOutcome(r *request) string {
	if g.stopped.Load() || r.canceler.stopped.Load() {
		return outcomeRouterStopped
	}
	return outcomeCallerLeft
}
