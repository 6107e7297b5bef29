package keeper

import (
	"fmt"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	simTick   = 20 * time.Millisecond
	simTTL    = 2 * time.Second
	simReport = 500 * time.Millisecond
)

// request is one caller's request at a simulated router, under its current claim.
type request struct {
	id        wire.ClaimID
	firstCopy time.Time // when the claim was first sent
	lastCopy  time.Time // when it was last sent
	upstream  string    // named by the grant
	expiresAt time.Time
	startAt   time.Time // when the router starts the request
	started   bool
	endAt     time.Time
	length    time.Duration
}

// simRouter is the router's side of the protocol that pkg/wire documents.
type simRouter struct {
	id       wire.RouterID
	inc      wire.Incarnation
	lastID   wire.ClaimID
	seq      uint64
	sent     map[uint64]time.Time
	reportAt time.Time
	requests []*request
}

func (s *sim) addRequest(r *simRouter) {
	q := &request{length: s.millis(1500) + simTick}
	r.requests = append(r.requests, q)
	s.claimAnew(r, q)
}

// claimAnew sends a new claim with a new ID for a request.
func (s *sim) claimAnew(r *simRouter, q *request) {
	r.lastID++
	*q = request{id: r.lastID, firstCopy: s.now, length: q.length}
	s.send(r, q)
}

func (s *sim) send(r *simRouter, q *request) {
	q.lastCopy = s.now
	inc, w := r.inc, wire.Claim{ID: q.id, Org: org(q.id)}
	s.transmit("from "+string(r.id), func() { s.k.Claim(r.id, inc, w, s.now) })
}

func org(id wire.ClaimID) string { return string("ab"[id%2]) }

func (s *sim) done(r *simRouter, id wire.ClaimID, upstream string, o wire.Outcome) {
	inc, d := r.inc, wire.Done{ID: id, Upstream: upstream, Outcome: o, Cost: 30}
	s.transmit("from "+string(r.id), func() { s.k.Done(r.id, inc, d, s.now) })
}

func (s *sim) grant(r *simRouter, inc wire.Incarnation, g wire.Grant) {
	if inc != r.inc {
		return
	}
	for _, q := range r.requests {
		switch {
		case q.id != g.ID:
		case q.upstream == g.Upstream:
			return
		case q.upstream != "":
			s.done(r, g.ID, g.Upstream, wire.OutcomeUnused)
			return
		default:
			base := q.firstCopy
			if at, ok := r.sent[g.EchoSeq]; ok && at.After(base) {
				base = at
			}
			q.upstream, q.expiresAt = g.Upstream, base.Add(simTTL)
			q.startAt = s.now
			if s.lossy && s.chance(10) {
				q.startAt = s.now.Add(s.millis(4000)) // the router is paused
			}
			return
		}
	}
	s.done(r, g.ID, g.Upstream, wire.OutcomeUnused)
}

// tick does what is due at the router.
func (s *sim) tick(r *simRouter) {
	kept := r.requests[:0]
	for _, q := range r.requests {
		if s.progress(r, q) {
			kept = append(kept, q)
		}
	}
	r.requests = kept
	if !s.now.Before(r.reportAt) {
		s.report(r)
	}
}

func (s *sim) progress(r *simRouter, q *request) bool {
	switch {
	case q.upstream == "":
		if s.now.Sub(q.lastCopy) > 2*time.Second {
			s.send(r, q)
		}
	case q.started:
		if !s.now.Before(q.endAt) {
			s.done(r, q.id, q.upstream, wire.OutcomeServed)
			s.served++
			return false
		}
	case !s.now.Before(q.expiresAt):
		s.done(r, q.id, q.upstream, wire.OutcomeUnused)
		s.claimAnew(r, q)
	case !s.now.Before(q.startAt):
		q.started, q.endAt = true, s.now.Add(q.length)
		s.starts[fmt.Sprint(r.id, r.inc, q.id)]++
	}
	return true
}

func (s *sim) report(r *simRouter) {
	r.seq++
	r.reportAt, r.sent[r.seq] = s.now.Add(simReport), s.now
	w := wire.Report{Seq: r.seq, Full: !s.lossy || r.seq%3 == 1}
	for _, q := range r.requests {
		if q.upstream == "" {
			w.Waiting = append(w.Waiting, q.id)
			continue
		}
		w.Running = append(w.Running, wire.Running{ID: q.id, Org: org(q.id), Upstream: q.upstream})
	}
	inc := r.inc
	s.transmit("from "+string(r.id), func() {
		state := s.k.Report(r.id, inc, w, s.now)
		s.transmit("to "+string(r.id), func() { s.resend(r, inc, state) })
	})
}

func (s *sim) resend(r *simRouter, inc wire.Incarnation, state wire.CellState) {
	for _, id := range state.Resend {
		for _, q := range r.requests {
			if inc == r.inc && q.id == id && q.upstream == "" {
				s.send(r, q)
			}
		}
	}
}

// restart restarts a router without its state; its running requests end.
func (s *sim) restart(r *simRouter) {
	r.inc++
	r.lastID, r.seq, r.requests = 0, 0, nil
	r.sent = map[uint64]time.Time{}
}

// cancel withdraws a waiting request.
func (s *sim) cancel(r *simRouter) {
	for i, q := range r.requests {
		if q.upstream == "" {
			inc, w := r.inc, wire.Cancel{ID: q.id}
			s.transmit("from "+string(r.id), func() { s.k.Cancel(r.id, inc, w, s.now) })
			r.requests = append(r.requests[:i], r.requests[i+1:]...)
			return
		}
	}
}
