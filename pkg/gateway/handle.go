package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// ServeHTTP serves one request to its end.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	r := &request{in: in, w: w, start: time.Now(), ask: g.dialect.Ask(in.Header)}
	defer r.release()
	defer g.record(r)
	g.departures.look(r.start)
	g.peers.NoteRequest(r.start)
	crowded := g.crowded()
	if crowded && callerLeft(in.Context()) {
		g.hangUp(r) // the processor is too scarce to prepare what nobody waits for
	}
	if wornOut(in.Context()) || g.state.Load() != serving || crowded {
		w.Header().Set("Connection", "close")
	}
	if err := g.prepare(r); err != nil {
		g.refuse(r, err)
		return
	}
	r.ctx = in.Context()
	g.run(r)
}

// prepare finds out what the request is and who asks.
func (g *Gateway) prepare(r *request) *verdict.Error {
	table := g.catalog.Table()
	if table == nil {
		return errNoConfig()
	}
	r.version = table.Config.Version
	if err := identify(r, table); err != nil {
		if g.catalog.Outdated() {
			// Guard: what is new to this router may be in force elsewhere. Callers give up on a denial.
			return errOutdated()
		}
		return err
	}
	if g.state.Load() == closed && !g.endsInTime(r) {
		return errLeaving()
	}
	if err := readBody(r, table.Config.Limits.MaxBodyBytes); err != nil {
		return err
	}
	if g.overrun() {
		return errOverrun()
	}
	r.content = content(r)
	if g.suspects.Check(r.content) != nil {
		return errSuspect()
	}
	r.end = until(r.start, r.route.Timeout, r.ask.Deadline)
	r.chain = placement.Prefixes(r.ask.Prompt)
	r.service = table.Service(r.route.Pick(draw(r.ask.RequestID)))
	if r.service == nil {
		return errNoUpstream()
	}
	g.budget.CountRequest(r.service.Name, r.start)
	if r.ask.Prompt != nil {
		g.shares.AddAsked(r.org, r.ask.Prompt.Size(), r.start)
	}
	return nil
}

func identify(r *request, table *routing.Table) *verdict.Error {
	r.route = table.Match(r.in.Host, rawPath(r.in))
	if r.route == nil {
		return errNoRoute()
	}
	if r.route.Public || !table.HasOrganisations() {
		return nil
	}
	org := table.Organisation(r.ask.Key)
	if org == nil {
		return errNoKey()
	}
	r.org = org.Name
	return nil
}

// rawPath is the path as the caller wrote it.
func rawPath(in *http.Request) string {
	path, _, _ := strings.Cut(in.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return in.URL.EscapedPath()
	}
	return path
}

// maxBodyDefault is for configurations that bound no bodies, in bytes.
const maxBodyDefault = 4 << 20

func readBody(r *request, limit int64) *verdict.Error {
	if limit <= 0 {
		limit = maxBodyDefault
	}
	if r.in.ContentLength > limit {
		return errTooLarge()
	}
	if r.in.ContentLength == 0 {
		return nil
	}
	body, err := r.readAll(limit)
	if err != nil {
		r.trail.reason = err.Error()
		return notRun(http.StatusBadRequest, verdict.CodeBadRequest, "the body can't be read", 0)
	}
	if int64(len(body)) > limit {
		return errTooLarge()
	}
	r.body = body
	return nil
}

func (r *request) readAll(limit int64) ([]byte, error) {
	if r.in.ContentLength > 0 {
		return r.readDeclared(r.in.ContentLength)
	}
	data, err := io.ReadAll(io.LimitReader(r.in.Body, limit+1))
	return data, errors.Trace(err)
}

func (g *Gateway) refuse(r *request, e *verdict.Error) {
	if r.begun {
		// Guard: the caller has the head of an answer. Ended here, it would look complete.
		g.cut(r)
	}
	r.trail.outcome, r.trail.status = string(e.Code), e.Status
	refuse(r.w, e)
}

// record writes the request's line. A handler that breaks an answer off panics with
// http.ErrAbortHandler; the line is written all the same.
func (g *Gateway) record(r *request) {
	now := time.Now()
	g.meter.request(r, now)
	served := r.trail.outcome == outcomeServed
	ok, leftServed, leftFailed := g.lines.allow(served, now)
	if leftServed+leftFailed > 0 {
		g.log.WithFields(log.Fields{"event": "lines_left_out", "served": leftServed, "failed": leftFailed}).Warn("lines of requests were left out")
	}
	if !ok {
		return
	}
	entry := g.log.WithFields(r.fields(now))
	if served {
		entry.Info("request served")
		return
	}
	entry.Warn("request not served")
}
