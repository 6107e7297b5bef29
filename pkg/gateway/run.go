package gateway

import (
	"math"
	"time"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Outcomes of requests and attempts, as the log names them.
const (
	outcomeServed          = "served"
	outcomeUpstreamFailure = "upstream_failure" // the upstream's own error response, relayed
	outcomeNotRun          = "not_run"          // the upstream says that it did not run the request
	outcomeUnsent          = "unsent"           // no byte was sent
	outcomeBroken          = "broken"           // the upstream broke off
	outcomeCutShort        = "cut_short"        // the response to the caller was aborted
	outcomeTimeout         = "timeout"
	outcomeCallerLeft      = "caller_left"
	outcomeRouterStopped   = "router_stopped" // the process closed the caller's connection
)

// run makes attempts until one of them provides the response or no further one is allowed.
func (g *Gateway) run(r *request) {
	var last attemptResult
	for attempt := 1; ; attempt++ {
		now := time.Now()
		if !r.responseStarted && g.tooLateFor(r, now) {
			g.giveUp(r, last, errDraining())
			return
		}
		if err := g.checkCrashes(r); err != nil {
			g.giveUp(r, last, err)
			return
		}
		choice, err := g.chooseInstance(r, now)
		if err != nil {
			g.giveUp(r, last, err)
			return
		}
		// Guard: since its arrival the request may have waited for the CPU until its caller left, and
		// there is no point in connecting to an upstream then. The decisive check is the one just
		// before the first byte is sent to the upstream.
		if now.Sub(r.start) > callerRecheckAfter && callerClosedConn(r.in.Context()) {
			g.abortForCaller(r)
		}
		if attempt > 1 && !last.unsent && !g.retryBudget.AllowRetry(r.service.Name, g.peers.Count(), now) {
			g.giveUp(r, last, nil)
			return
		}
		r.bindCancellation(g.disconnects)
		last = g.attempt(r, choice, now)
		if last.done {
			return
		}
		if !r.mayRetry(last, attempt) {
			g.giveUp(r, last, nil)
			return
		}
	}
}

// callerRecheckAfter is the age of a request from which on its caller's connection is checked before
// each attempt.
const callerRecheckAfter = 50 * time.Millisecond

// maxUnsentAttempts is the number of attempts that may fail before any byte is sent.
const maxUnsentAttempts = 4

// attemptResult is the result of an attempt.
type attemptResult struct {
	// done: the response was written.
	done bool
	// unsent: no byte reached the upstream.
	unsent bool
	// notRun: the upstream says that it did not run the request.
	notRun bool
	// resumable: the stream broke off and may be resumed on another upstream.
	resumable bool
	// response is the upstream's own error response, kept in case no retry is possible.
	response *bufferedResponse
}

// sentAttempts returns the number of attempts that may have reached an upstream.
func (r *request) sentAttempts() int {
	n := 0
	for _, s := range r.logRecord.attempts {
		if s.Outcome != outcomeUnsent {
			n++
		}
	}
	return n
}

// mayRetry reports whether another attempt is allowed after res.
func (r *request) mayRetry(res attemptResult, attempt int) bool {
	if r.expired() || r.sentAttempts() >= r.route.MaxAttempts {
		return false
	}
	if res.unsent {
		return attempt < maxUnsentAttempts
	}
	return res.notRun || res.resumable || r.route.Repeatable()
}

// giveUp responds after the last attempt. refusal says why no instance could be chosen for another
// one; it is nil if no further attempt is allowed.
func (g *Gateway) giveUp(r *request, res attemptResult, refusal *verdict.Error) {
	switch {
	case r.responseStarted:
		if res.resumable {
			g.metrics.resumed.count(knownByAttempt, resumedCutShort)
		}
		g.abortResponse(r)
	case res.response != nil:
		g.writeBuffered(r, res.response)
	case r.expired():
		g.endExpired(r)
	case !r.neverRan():
		g.refuse(r, errUpstreamFailed())
	case refusal != nil:
		g.refuse(r, refusal)
	default:
		g.refuse(r, g.errExhausted(r))
	}
}

// deadlineError returns the error for a request whose deadline has passed.
func (g *Gateway) deadlineError(r *request) *verdict.Error {
	if r.neverRan() {
		return errUpstreamsFull(transientRetryAfter)
	}
	return errTimeout()
}

// neverRan reports whether no attempt can have run the request.
func (r *request) neverRan() bool {
	for _, s := range r.logRecord.attempts {
		if s.Outcome != outcomeUnsent && s.Outcome != outcomeNotRun {
			return false
		}
	}
	return true
}

// attempt sends the request to one instance.
func (g *Gateway) attempt(r *request, choice placement.Choice, now time.Time) attemptResult {
	inst := choice.Candidate.Instance
	r.tried[inst.ID] = true
	r.logRecord.attempts = append(r.logRecord.attempts, attemptRecord{
		Instance: inst.ID, Software: inst.Software, OffsetMs: now.Sub(r.start).Milliseconds(), ExpectedWaitMs: choice.Wait.Milliseconds(),
		Running: choice.Candidate.Load.Running, UncachedTokens: choice.UncachedTokens, CachedTokens: choice.Candidate.Cached, FetchedTokens: choice.FetchedTokens, Risk: math.Round(choice.Risk*100) / 100,
		SharedTokens: sharedTokens(r), HeldMs: choice.Hold.Milliseconds(), UnseenMs: choice.Unseen.Assigned.Milliseconds(), started: now,
	})
	rec := &r.logRecord.attempts[len(r.logRecord.attempts)-1]
	rec.setBasis(g.catalog.Basis(inst.ID, now))
	entry := g.loads.Begin(inst.Life(), g.workOf(r, choice))
	defer entry.End()
	g.inflows.Assign(r.service.Name, choice.AddedCost, now)
	if !r.hold(choice.Hold) {
		rec.Outcome = outcomeUnsent
		g.endExpired(r)
		return attemptResult{done: true}
	}
	if choice.Hold > 0 {
		now = time.Now()
		rec.started, rec.OffsetMs = now, now.Sub(r.start).Milliseconds()
	}
	prefill := g.beginPrefill(r, choice, now)
	defer prefill.End()
	g.prefixIndex.RecordUse(inst.Life(), r.prefixes, now)
	g.countAssigned(r, now)
	state := &attemptState{choice: choice, loadEntry: entry, prefill: prefill, sentAt: now}
	defer g.uncountUnstarted(r, state)
	resp, err := g.pools.Do(r.ctx, g.newCall(r, choice, now))
	if err != nil {
		return g.attemptFailed(r, rec, inst, err)
	}
	defer resp.Close()
	defer g.recordEnding(rec, resp)
	defer g.observeAnswerTime(r, now)
	rec.FirstByteMs = time.Since(now).Milliseconds()
	rec.setNotice(resp.Notice)
	if g.dialect.NotRun(resp.Status, resp.Header) {
		return g.attemptDeclined(r, rec, inst, resp)
	}
	g.observeCall(r, choice, time.Since(now))
	if g.isEventStream(r, resp) {
		return g.relayStream(r, rec, inst, resp, state)
	}
	return g.relayBuffered(r, rec, inst, resp)
}

// recordEnding records how a response was framed and what ended it.
func (g *Gateway) recordEnding(rec *attemptRecord, resp *forward.Response) {
	if resp.Ending == "" {
		return
	}
	rec.Framing, rec.Ending = resp.Framing, resp.Ending
	g.metrics.endings.count(string(resp.Framing), string(resp.Ending))
}

func (g *Gateway) newCall(r *request, choice placement.Choice, now time.Time) *forward.Call {
	inst := choice.Candidate.Instance
	meta := AttemptMetadata{Instance: inst.ID, Organisation: r.org, TimeLeft: r.remaining(now), LastEventID: r.meta.LastEventID, Resumes: r.meta.Resumes}
	if r.splitter != nil {
		if last, seen := r.splitter.LastID(); seen {
			meta.LastEventID, meta.Resumes = last, true
		}
	}
	if choice.FetchFrom != nil {
		meta.FetchFrom = choice.FetchFrom.Addr
	}
	return &forward.Call{
		Instance: inst, Method: r.in.Method, URI: r.in.RequestURI, Host: r.in.Host,
		Header: g.dialect.UpstreamHeader(r.in.Header, meta), Body: r.body, RequestID: r.meta.RequestID,
		StillWanted: func() bool { return r.stillWanted() && g.sendable(r, inst) }, Abort: &r.canceler.abort,
	}
}

// sendable reports whether the chosen instance may still be sent the request, which may have waited
// for the CPU since the choice.
func (g *Gateway) sendable(r *request, inst *upstream.Instance) bool {
	now := time.Now()
	if subject, _, _ := g.refusedFor(r); subject != 0 {
		return false
	}
	if !g.catalog.StillPlaceable(inst) && !g.goesOnAtLeaving(r, inst, now) {
		return false
	}
	if _, pending := g.health.BackoffUntil(inst.Life(), now); pending {
		return false
	}
	return g.warmup.Acquire(inst, r.service, now)
}

// sharedTokens returns how many tokens of the prompt other requests may have in common with it.
func sharedTokens(r *request) int {
	if len(r.prefixes) == 0 {
		return 0
	}
	return r.prefixes[len(r.prefixes)-1].Tokens
}
