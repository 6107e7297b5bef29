package gateway

import (
	"math"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Outcomes of requests and attempts, as the log names them.
const (
	outcomeServed    = "served"
	outcomeFailure   = "upstream_failure" // the upstream's own failure, passed on
	outcomeNotRun    = "not_run"          // the upstream says that it did not run it
	outcomeUnsent    = "unsent"           // no byte has left
	outcomeBroken    = "broken"           // the upstream broke off
	outcomeCutShort  = "cut_short"        // the answer to the caller was broken off
	outcomeTimeout   = "timeout"
	outcomeCallerOff = "caller_left"
)

// run makes attempts until one gives the caller an answer.
func (g *Gateway) run(r *request) {
	var last result
	for attempt := 1; ; attempt++ {
		now := time.Now()
		choice, err := g.place(r, now)
		if err != nil {
			g.giveUp(r, last, err)
			return
		}
		// Guard: between its arrival and this moment a request may have waited for the
		// processor until its caller left. There is no use in connecting then; the look that
		// counts is the one just before the first byte to the upstream.
		if now.Sub(r.start) > lookAgain && callerLeft(r.in.Context()) {
			g.hangUp(r)
		}
		if attempt > 1 && !last.unsent && !g.budget.AllowRetry(r.service.Name, g.peers.Count(), now) {
			g.giveUp(r, last, nil)
			return
		}
		r.begin(g.departures)
		last = g.attempt(r, choice, now)
		if last.done {
			return
		}
		if !r.mayRepeat(last, attempt) {
			g.giveUp(r, last, nil)
			return
		}
	}
}

// lookAgain is the time after which the caller's connection is looked at before repeats.
const lookAgain = 50 * time.Millisecond

// maxUnsent bounds the upstreams that are tried without a byte having left.
const maxUnsent = 4

// result of an attempt.
type result struct {
	// done: the caller has its answer.
	done bool
	// unsent: no byte reached the upstream.
	unsent bool
	// notRun: the upstream says that it did not run the request.
	notRun bool
	// resumable: the stream broke off and may go on elsewhere.
	resumable bool
	// answer is the upstream's own failure, kept in case no repeat is possible.
	answer *whole
}

// sent counts the attempts that may have reached an upstream.
func (r *request) sent() int {
	n := 0
	for _, s := range r.trail.steps {
		if s.Outcome != outcomeUnsent {
			n++
		}
	}
	return n
}

// mayRepeat reports whether another attempt is allowed after res.
func (r *request) mayRepeat(res result, attempt int) bool {
	if r.over() || r.sent() >= r.route.MaxAttempts {
		return false
	}
	if res.unsent {
		return attempt < maxUnsent
	}
	return res.notRun || res.resumable || r.route.Repeatable()
}

// giveUp answers after the last attempt. refusal is why there is no further one; nil when
// none is allowed.
func (g *Gateway) giveUp(r *request, res result, refusal *verdict.Error) {
	switch {
	case r.begun:
		g.cut(r)
	case res.answer != nil:
		g.writeWhole(r, res.answer)
	case r.over():
		g.timedOut(r)
	case !r.neverRan():
		g.refuse(r, errUpstream())
	case refusal != nil:
		g.refuse(r, refusal)
	default:
		g.refuse(r, errOverloaded(briefly))
	}
}

// ended is the answer for a request whose time is over.
func (g *Gateway) ended(r *request) *verdict.Error {
	if r.neverRan() {
		return errOverloaded(briefly)
	}
	return errTimeout()
}

// neverRan reports whether all attempts are known not to have run.
func (r *request) neverRan() bool {
	for _, s := range r.trail.steps {
		if s.Outcome != outcomeUnsent && s.Outcome != outcomeNotRun {
			return false
		}
	}
	return true
}

// attempt sends the request to one instance.
func (g *Gateway) attempt(r *request, choice placement.Choice, now time.Time) result {
	in := choice.Candidate.Instance
	r.tried[in.ID] = true
	r.trail.steps = append(r.trail.steps, step{
		Instance: in.ID, AtMs: now.Sub(r.start).Milliseconds(), WaitMs: choice.Wait.Milliseconds(),
		Running: choice.Candidate.Load.Running, Unread: choice.UncachedTokens, Kept: choice.Candidate.Cached, Fetched: choice.FetchedTokens, Risk: math.Round(choice.Risk*100) / 100,
		Shared: sharedTokens(r), UnseenMs: choice.Unseen.Assigned.Milliseconds(), started: now,
	})
	st := &r.trail.steps[len(r.trail.steps)-1]
	st.basis(g.catalog.Basis(in.ID, now))
	entry := g.ledger.Begin(in.Life(), g.work(r, choice))
	defer entry.End()
	reading := g.beginReading(r, choice, now)
	defer reading.End()
	g.inflows.Assign(r.service.Name, choice.AddedCost, now)
	g.holdings.RecordUse(in.Life(), r.chain, now)
	g.give(r, now)
	p := &placed{choice: choice, entry: entry, reading: reading, sent: now}
	defer g.takeBack(r, p)
	answer, err := g.pools.Do(r.ctx, g.call(r, choice, now))
	if err != nil {
		return g.failed(r, st, in, err)
	}
	defer answer.Close()
	defer g.noteEnding(st, answer)
	st.FirstMs = time.Since(now).Milliseconds()
	if g.dialect.NotRun(answer.Status, answer.Header) {
		return g.declined(r, st, in, answer)
	}
	g.called(r, choice, time.Since(now))
	if g.streams(r, answer) {
		return g.relayStream(r, st, in, answer, p)
	}
	return g.relayWhole(r, st, in, answer)
}

// noteEnding notes how an answer was framed and what ended it.
func (g *Gateway) noteEnding(st *step, a *forward.Answer) {
	if a.Ending == "" {
		return
	}
	st.Framing, st.Ending = a.Framing, a.Ending
	g.meter.endings.count(string(a.Framing), string(a.Ending))
}

func (g *Gateway) call(r *request, choice placement.Choice, now time.Time) *forward.Call {
	in := choice.Candidate.Instance
	errand := Errand{Instance: in.ID, Organisation: r.org, Left: r.left(now), After: r.ask.After, Resumes: r.ask.Resumes}
	if r.cutter != nil {
		if last, seen := r.cutter.Last(); seen {
			errand.After, errand.Resumes = last, true
		}
	}
	if choice.FetchFrom != nil {
		errand.FetchFrom = choice.FetchFrom.Addr
	}
	return &forward.Call{
		Instance: in, Method: r.in.Method, URI: r.in.RequestURI, Host: r.in.Host,
		Header: g.dialect.Outgoing(r.in.Header, errand), Body: r.body, RequestID: r.ask.RequestID,
		Wanted: func() bool { return r.wanted() && g.sendable(r, in) }, Abort: &r.waiter.abort,
	}
}

// sendable reports whether an instance that was chosen may still be sent the request, which
// may have waited for the processor meanwhile.
func (g *Gateway) sendable(r *request, in *upstream.Instance) bool {
	return g.catalog.StillPlaceable(in) && g.warmup.Take(in, r.service, time.Now())
}

// sharedTokens is how much of the prompt other requests may have as well.
func sharedTokens(r *request) int {
	if len(r.chain) == 0 {
		return 0
	}
	return r.chain[len(r.chain)-1].Tokens
}

// failed notes an attempt without a usable answer.
func (g *Gateway) failed(r *request, st *step, in *upstream.Instance, err error) result {
	st.Error = err.Error()
	var f *forward.Error
	sent := !errors.As(err, &f) || f.Sent
	st.Outcome = outcomeBroken
	if !sent {
		st.Outcome = outcomeUnsent
	}
	if r.over() || r.callerGone() {
		g.timedOut(r)
		return result{done: true}
	}
	if sent {
		g.suspect(r)
	}
	// A lack of descriptors is our own fault; what is unwanted was never sent.
	if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, forward.ErrUnwanted) {
		g.observe(in, g.blame(err), err)
	}
	return result{unsent: !sent}
}

// blame is the outcome that an attempt which ended with err counts as.
//
// Guard: a router that gets too little processor sees its own timers run out, and would
// leave one upstream after the other alone though all are well. It shows as timeouts at all
// upstreams in the same tenth of a second, and as refusals of everything after that. A
// failure still makes the upstream a worse choice.
func (g *Gateway) blame(err error) upstream.Outcome {
	var timeout net.Error
	ours := errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT) // that is the kernel's
	if ours && g.late() {
		return upstream.Failed
	}
	return upstream.Silent
}

// timedOut ends a request whose caller left or whose time is over.
func (g *Gateway) timedOut(r *request) {
	if r.callerGone() {
		g.hangUp(r)
	}
	g.refuse(r, g.ended(r))
}

// declined notes that an instance did not run the request.
func (g *Gateway) declined(r *request, st *step, in *upstream.Instance, answer *forward.Answer) result {
	st.Outcome = outcomeNotRun
	if answer.Status == statusBadRequest {
		return g.relayWhole(r, st, in, answer)
	}
	drain(answer)
	g.observe(in, upstream.Failed, nil)
	return result{notRun: true}
}

func (g *Gateway) observe(in *upstream.Instance, o upstream.Outcome, cause error) {
	suspended := g.health.Observe(in.Life(), o, time.Now())
	if suspended == 0 {
		return
	}
	entry := g.log.WithField("event", "instance_suspended").WithField("instance", in.ID).WithField("for_ms", suspended.Milliseconds())
	if cause != nil {
		entry = entry.WithError(cause)
	}
	entry.Warn("instance doesn't answer")
}
