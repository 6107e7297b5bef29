package gateway

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
)

// attemptState is the state of a request at the instance that was chosen for it.
type attemptState struct {
	choice    placement.Choice
	loadEntry *placement.InFlight
	prefill   *pace.Prefill
	sentAt    time.Time
	// firstEventAt and lastEventAt are when the first and the last event arrived; zero before the first one.
	firstEventAt, lastEventAt time.Time
	// sound says that the run has gone on for so long that it doesn't crash its upstream.
	sound bool
}

// A stream is known to be sound when it still brings events soundAfter after the first one, or has brought
// soundEvents. A request that crashes upstreams does so as they begin to work on it.
const (
	soundAfter  = 500 * time.Millisecond
	soundEvents = 6
)

// provesSound records events, of which there are so many in all, and reports whether they are the ones that
// show that the run is sound.
func (s *attemptState) provesSound(now time.Time, events int) bool {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	}
	if s.sound || now.Sub(s.firstEventAt) < soundAfter && events < soundEvents {
		return false
	}
	s.sound = true
	return true
}

// countAssigned counts a request with a prompt towards what its organisation has got.
func (g *Gateway) countAssigned(r *request, now time.Time) {
	if r.meta.Prompt != nil {
		g.shares.AddGot(r.org, r.meta.Prompt.Size(), now)
	}
}

// uncountUnstarted takes back that count for a stream that ended before its first event.
func (g *Gateway) uncountUnstarted(r *request, state *attemptState) {
	if r.meta.Prompt != nil && r.route.Kind == routing.Stream && state.lastEventAt.IsZero() {
		g.shares.TakeBack(r.org, r.meta.Prompt.Size(), state.sentAt, time.Now())
	}
}

// beginPrefill records that a prompt is sent to an engine; it returns nil if there is none.
func (g *Gateway) beginPrefill(r *request, c placement.Choice, now time.Time) *pace.Prefill {
	if r.service.Engine == nil || r.meta.Prompt == nil {
		return nil
	}
	return g.estimator.BeginPrefill(r.service.Name, c.Candidate.Instance.Life(), c.Wait-c.Queue, now)
}

// batchTimerSlack is how much longer than planned the router's own wait for a batch may take.
const batchTimerSlack = 20 * time.Millisecond

// recordFirstEvent records the first event, which shows that the prompt's prefill is complete.
func (g *Gateway) recordFirstEvent(r *request, state *attemptState, now time.Time) {
	life := state.choice.Candidate.Instance.Life()
	state.loadEntry.MarkPrefilled()
	state.prefill.FirstEvent(now)
	g.prefixIndex.Confirm(life, r.prefixes)
	if r.meta.Prompt == nil || r.service.Engine == nil {
		return
	}
	g.shares.AddBegun(r.org, r.meta.Prompt.Size(), now)
	g.estimator.Observe(pace.Sample{Service: r.service.Name, Life: life, Context: r.meta.Prompt.Input,
		Base: state.choice.Base, Queue: state.choice.Queue, Measured: now.Sub(state.sentAt)}, now)
}

// recordPause records the time since the previous event if it is long enough to matter. For the
// time batched of it, the router itself didn't read events.
func (g *Gateway) recordPause(r *request, rec *attemptRecord, state *attemptState, now time.Time, batched time.Duration) {
	pause := now.Sub(state.lastEventAt)
	if pause < max(pace.MinPause, batched+batchTimerSlack) {
		return
	}
	rec.MaxPauseMs = max(rec.MaxPauseMs, pause.Milliseconds())
	g.estimator.ObservePause(state.choice.Candidate.Instance.Life(), state.lastEventAt, now)
	if r.route.MaxPause > 0 && pause > r.route.MaxPause {
		state.loadEntry.MarkLate()
	}
}
