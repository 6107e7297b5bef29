package gateway

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
)

// placed is a request at the instance that was chosen for it.
type placed struct {
	choice  placement.Choice
	entry   *placement.InFlight
	reading *pace.Prefill
	sent    time.Time
	// newest is when the newest event came; zero before the first.
	newest time.Time
}

// give counts a prompt as got by its organisation.
func (g *Gateway) give(r *request, now time.Time) {
	if r.ask.Prompt != nil {
		g.shares.AddGot(r.org, r.ask.Prompt.Size(), now)
	}
}

// takeBack takes a stream that ended before its first event out of what its organisation has got.
func (g *Gateway) takeBack(r *request, p *placed) {
	if r.ask.Prompt != nil && r.route.Kind == routing.Stream && p.newest.IsZero() {
		g.shares.TakeBack(r.org, r.ask.Prompt.Size(), p.sent, time.Now())
	}
}

// beginReading notes a prompt that is sent to an engine; nil for none.
func (g *Gateway) beginReading(r *request, c placement.Choice, now time.Time) *pace.Prefill {
	if r.service.Engine == nil || r.ask.Prompt == nil {
		return nil
	}
	return g.paces.BeginPrefill(r.service.Name, c.Candidate.Instance.Life(), c.Wait-c.Queue, now)
}

// lateRest is how much longer than planned a router's own rest may take.
const lateRest = 20 * time.Millisecond

// begun notes the first event: the prompt was read.
func (g *Gateway) begun(r *request, p *placed, now time.Time) {
	life := p.choice.Candidate.Instance.Life()
	p.entry.MarkPrefilled()
	p.reading.FirstEvent(now)
	g.holdings.Confirm(life, r.chain)
	if r.ask.Prompt == nil || r.service.Engine == nil {
		return
	}
	g.shares.AddBegun(r.org, r.ask.Prompt.Size(), now)
	g.paces.Observe(pace.Sample{Service: r.service.Name, Life: life, Context: r.ask.Prompt.Input,
		Base: p.choice.Base, Queue: p.choice.Queue, Measured: now.Sub(p.sent)}, now)
}

// paused notes the time since the event before, when it is long enough to matter. For rested of
// it the router itself didn't look for events.
func (g *Gateway) paused(r *request, st *step, p *placed, now time.Time, rested time.Duration) {
	pause := now.Sub(p.newest)
	if pause < max(pace.MinPause, rested+lateRest) {
		return
	}
	st.PauseMs = max(st.PauseMs, pause.Milliseconds())
	g.paces.ObservePause(p.choice.Candidate.Instance.Life(), p.newest, now)
	if r.route.MaxPause > 0 && pause > r.route.MaxPause {
		p.entry.MarkLate()
	}
}
