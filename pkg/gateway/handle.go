package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/unread"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// ServeHTTP serves one request until its response is complete or aborted.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	r := &request{in: in, w: w, start: time.Now(), meta: g.dialect.DecodeRequest(in.Header), readWhole: in.ContentLength == 0, lease: g.pools.Buffers().Lease(), bodyLease: g.bodies.Lease(), leavesBody: in.ContentLength > unread.MaxServerDiscard}
	defer r.release()
	defer g.record(r)
	g.disconnects.poll(r.start)
	g.peers.NoteRequest(r.start)
	pressure := g.connectionPressure()
	if pressure && callerClosedConn(in.Context()) {
		g.abortForCaller(r) // CPU is too scarce to prepare a request that nobody waits for
	}
	if countsAsLastRequest(in.Context()) || g.state.Load() != serving || pressure {
		w.Header().Set("Connection", "close")
	}
	if err := g.prepare(r); err != nil {
		g.refuse(r, err)
		r.returned = true
		return
	}
	r.ctx = in.Context()
	g.run(r)
	r.returned = true
}

// prepare matches the route, authenticates the caller, reads the body and checks whether the request
// may run.
func (g *Gateway) prepare(r *request) *verdict.Error {
	table := g.catalog.Table()
	if table == nil {
		return errNoConfig()
	}
	r.configVersion = table.Config.Version
	if r.exceedsHeader(table.Config.Limits.MaxHeaderBytes) {
		return errHeaderTooLarge()
	}
	if err := matchAndAuthenticate(r, table); err != nil {
		if g.catalog.Outdated() || g.catalog.Table() != table {
			// Guard: the route or key may be in a newer configuration that other routers already have, or that has just
			// come into force here. Callers give up when they are denied.
			return errOutdatedConfig()
		}
		return err
	}
	r.deadline = responseDeadline(r.start, r.route.Timeout, r.meta.Deadline)
	if g.tooLateFor(r, r.start) {
		return errDraining()
	}
	if err := g.readBody(r, table.Config.Limits.MaxBodyBytes); err != nil {
		return err
	}
	r.entry().RequestRead()
	if g.overloaded() {
		return errRouterOverloaded()
	}
	r.contentHash = hashContent(r)
	if err := g.checkCrashes(r); err != nil {
		return err
	}
	r.prefixes = placement.Prefixes(r.meta.Prompt)
	if err := g.setService(r, table); err != nil {
		return err
	}
	if err := g.checkCrashes(r); err != nil {
		return err
	}
	g.retryBudget.CountRequest(r.service.Name, r.start)
	if r.meta.Prompt != nil {
		g.shares.AddAsked(r.org, r.meta.Prompt.Size(), r.start)
	}
	return nil
}

// serverBuffer is the size, in bytes, of the buffer through which the server reads, and so of what it may read beyond a header.
const serverBuffer = 4 << 10

// exceedsHeader reports whether the request's header has more bytes than the configuration allows; 0 for any number.
func (r *request) exceedsHeader(limit int) bool {
	return limit > 0 && r.entry().HeadBytes() > int64(limit)+serverBuffer
}

// setService chooses the service for the request, and for a stream that its caller resumes the
// software version.
func (g *Gateway) setService(r *request, table *routing.Table) *verdict.Error {
	name := r.route.Pick(hashFraction(r.firstAttempt()))
	if r.resumesStream() {
		var err *verdict.Error
		if name, err = g.bindResumed(r, name); err != nil {
			return err
		}
	}
	if r.service = table.Service(name); r.service == nil {
		return errNoUpstream()
	}
	return nil
}

func matchAndAuthenticate(r *request, table *routing.Table) *verdict.Error {
	r.route = table.Match(r.in.Host, escapedPath(r.in))
	if r.route == nil {
		return errNoRoute()
	}
	if r.route.Public || !table.HasOrganisations() {
		return nil
	}
	org := table.Organisation(r.meta.APIKey)
	if org == nil {
		return errUnknownKey()
	}
	r.org = org.Name
	return nil
}

// escapedPath returns the path as the caller wrote it.
func escapedPath(in *http.Request) string {
	path, _, _ := strings.Cut(in.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return in.URL.EscapedPath()
	}
	return path
}

func (g *Gateway) refuse(r *request, e *verdict.Error) {
	if r.responseStarted {
		// Guard: the caller has already received the response header. If the response ended here in
		// order, it would look complete.
		g.abortResponse(r)
	}
	r.logRecord.outcome, r.logRecord.status = string(e.Code), e.Status
	if r.leavesBody {
		r.refuseUnread(e)
		return
	}
	writeError(r.w, e)
}

// record writes the request's log line and metrics. A handler that aborts a response panics with
// http.ErrAbortHandler; the line is still written.
func (g *Gateway) record(r *request) {
	now := time.Now()
	g.metrics.record(r, now)
	g.recordReadEnding(r, now)
	served := r.logRecord.outcome == outcomeServed
	allowed, droppedServed, droppedFailed := g.logBudget.allow(served, now)
	if droppedServed+droppedFailed > 0 {
		g.log.WithFields(log.Fields{"event": "lines_left_out", "served": droppedServed, "failed": droppedFailed}).Warn("request log lines were dropped")
	}
	if !allowed {
		return
	}
	entry := g.log.WithFields(r.logFields(now))
	if served {
		entry.Info("request served")
		return
	}
	entry.Warn("request not served")
}
