package edge

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// run takes a prepared request to its end.
func (q *request) run() {
	q.edge.budget.request()
	q.call.Header.Set(dispatch.HeaderOrg, q.org.Name)
	if q.key != "" {
		q.call.Header.Set(HeaderKey, q.key)
	}
	if s := q.edge.Suspects; s != nil {
		if err := s.Check(q.content); err != nil {
			q.refuse(notRun(err))
			return
		}
	}
	ticket, err := q.begin()
	if err != nil {
		q.refuseBegin(err)
		return
	}
	settled := false
	defer func() {
		if !settled {
			ticket.MayHaveRun()
		}
	}()
	q.result = q.attempts()
	settled = true
	q.settle(ticket)
	q.answer()
}

// begin records a call that may not be repeated.
func (q *request) begin() (Ticket, error) {
	if !slices.Contains(q.route.AtMostOnce, q.call.Method) {
		return noTicket{}, nil
	}
	if q.key == "" {
		return nil, badRequest("this call may not be repeated and needs the header " + HeaderKey)
	}
	if q.edge.Guard == nil {
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeTableDown, "idempotency keys can't be recorded")
	}
	return q.edge.Guard.Begin(q.r.Context(), q.org.Name, q.key, q.content)
}

func (q *request) refuseBegin(err error) {
	var replay *Replay
	if !errors.As(err, &replay) {
		q.refuse(verdict.From(err))
		return
	}
	kind := "application/octet-stream"
	if json.Valid(replay.Body) {
		kind = "application/json"
	}
	q.result.Status, q.result.Verdict = replay.Status, dispatch.StatusVerdict(replay.Status)
	q.edge.write(q.w, replay.Status, kind, q.result.Verdict, replay.Body)
}

func (q *request) settle(t Ticket) {
	switch {
	case q.result.Verdict == verdict.NotRun:
		t.NotRun()
	case q.result.Err == nil && !q.call.Stream:
		t.Ran(q.result.Status, q.result.Body)
	default:
		t.MayHaveRun()
	}
}

// attempts runs the request, again on another upstream while nothing has run.
func (q *request) attempts() dispatch.Result {
	claim := q.claim()
	for {
		slot, err := q.edge.Scheduler.Acquire(q.r.Context(), claim)
		q.place.leave(time.Now())
		if err != nil {
			return dispatch.Result{Verdict: verdict.NotRun, Err: notRun(err)}
		}
		q.edge.Observer.Waited(q.org.Name, q.class, time.Since(q.received))
		res := q.edge.Dispatcher.Do(q.r.Context(), slot, &q.call, q.sink())
		q.observe(res)
		if !q.mayRetry(res) {
			return res
		}
		if res.Outcome != wire.OutcomeUnused {
			claim.Exclude = append(claim.Exclude, res.Upstream)
		}
	}
}

// mayRetry allows another attempt only when the last one certainly didn't run.
func (q *request) mayRetry(res dispatch.Result) bool {
	if res.Err == nil || res.Verdict != verdict.NotRun || res.ResponseStarted {
		return false
	}
	if q.r.Context().Err() != nil || time.Since(q.received) >= q.deadline {
		return false
	}
	return q.edge.budget.retry()
}

func (q *request) observe(res dispatch.Result) {
	if res.Cost > 0 {
		q.edge.Observer.Served(q.org.Name, q.class, res.Cost)
	}
	q.observeSuspect(res)
}

func (q *request) observeSuspect(res dispatch.Result) {
	s := q.edge.Suspects
	switch {
	case s == nil:
	case res.Outcome == wire.OutcomeDied:
		s.Crashed(res.Upstream, q.content)
	case res.Outcome == wire.OutcomeServed:
		s.Served(q.content)
	}
}

func (q *request) sink() *streamSink {
	return &streamSink{
		edge:    q.edge,
		w:       q.w,
		control: http.NewResponseController(q.w),
		began: func() {
			q.dropBody()
			q.edge.Observer.FirstToken(q.org.Name, q.class, time.Since(q.received))
		},
	}
}

// answer gives the caller what became of the request. A stream that has begun and
// can't be finished is broken off: an orderly end would look like a whole answer.
func (q *request) answer() {
	res := &q.result
	switch {
	case res.Err != nil && res.ResponseStarted:
		q.edge.Observer.Refused(q.org.Name, q.class, res.Err.Code)
		breakOff(q.r)
	case res.Err != nil:
		q.refuse(res.Err)
	case !res.ResponseStarted:
		q.passOn()
	}
}

func (q *request) passOn() {
	res := &q.result
	h := q.w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	if res.Length >= 0 && q.call.Method == http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(res.Length, 10))
	}
	q.edge.write(q.w, res.Status, "", res.Verdict, res.Body)
}
