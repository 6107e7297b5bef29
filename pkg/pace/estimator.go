package pace

import (
	"math"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// minPrefill is the prefill time from which on the pauses beside a prompt are measured.
const minPrefill = 100 * time.Millisecond

// MinPause is the pause of a stream from which on callers should report it.
const MinPause = minPrefill

// Estimator estimates the speed of engines and the pauses beside prompts. It is safe for concurrent
// use.
type Estimator struct {
	mu       sync.Mutex
	own      map[upstream.Life]*decayingSum
	others   map[upstream.Life]Times
	services map[string]*serviceEstimate
	prefills map[upstream.Life][]*Prefill
}

// serviceEstimate holds the estimates that the engines of one service share.
type serviceEstimate struct {
	contextScale contextScale
	// own holds the pauses measured by this router, others those of the other routers.
	own, others Pauses
}

// NewEstimator returns an Estimator without measurements: it estimates what the settings say.
func NewEstimator() *Estimator {
	return &Estimator{own: make(map[upstream.Life]*decayingSum), services: make(map[string]*serviceEstimate),
		prefills: make(map[upstream.Life][]*Prefill)}
}

func (e *Estimator) service(name string) *serviceEstimate {
	s := e.services[name]
	if s == nil {
		s = new(serviceEstimate)
		e.services[name] = s
	}
	return s
}

// Sample is a measured time from sending a prompt to its first event.
type Sample struct {
	Service string
	Life    upstream.Life
	// Context is the number of the prompt's tokens, including those in the cache.
	Context int
	// Base is the expected time without a queue on an engine of the usual speed, Queue the expected
	// wait behind other requests.
	Base  time.Duration
	Queue time.Duration
	// Measured is the time from sending the prompt to its first event.
	Measured time.Duration
}

const (
	// minRatio and maxRatio bound the effect of one measurement: a prompt may have waited for a
	// reason other than the engine's speed.
	minRatio = 0.33
	maxRatio = 4.0
)

// Observe learns from a prefilled prompt. A prompt whose expected queue was longer than its own
// prefill is ignored: its time depends more on the queue than on the engine.
func (e *Estimator) Observe(s Sample, now time.Time) {
	if s.Base <= 0 || s.Queue > s.Base {
		return
	}
	base := ms(s.Base)
	measured := min(maxRatio*base, max(minRatio*base, ms(s.Measured-s.Queue)))
	e.mu.Lock()
	defer e.mu.Unlock()
	slowness := e.times(s.Life, now).slowness()
	e.service(s.Service).contextScale.observe(s.Context, measured/(base*slowness))
	d := e.own[s.Life]
	if d == nil {
		d = &decayingSum{updatedAt: now}
		e.own[s.Life] = d
	}
	d.decay(now)
	d.times = d.times.plus(Times{Base: base, Actual: measured})
}

// times adds up the measurements of all routers for a life.
func (e *Estimator) times(life upstream.Life, now time.Time) Times {
	total := e.others[life]
	if d := e.own[life]; d != nil {
		d.decay(now)
		total = total.plus(d.times)
	}
	return total
}

// Slowness is the estimated prefill time of an engine in its present life, over the usual one.
func (e *Estimator) Slowness(life upstream.Life, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.times(life, now).slowness()
}

// Scale is the prefill time of a token of a prompt with that context, over that of a short prompt's
// token.
func (e *Estimator) Scale(service string, context int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service(service).contextScale.scale(context)
}

// Curve returns the present estimate of the pauses beside prompts at the engines of a service.
func (e *Estimator) Curve(service string) Curve {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(service)
	all := s.own.plus(&s.others)
	return all.curve()
}

// minReportedMs is the sum of expected times, in ms, below which a measurement isn't reported.
const minReportedMs = 1.0

// Own returns the measurements of this router, by life.
func (e *Estimator) Own(now time.Time) map[upstream.Life]Times {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := make(map[upstream.Life]Times, len(e.own))
	for life, d := range e.own {
		d.decay(now)
		if d.times.Base < minReportedMs {
			delete(e.own, life)
			continue
		}
		own[life] = d.times
	}
	return own
}

// SetOthers replaces the measurements of the other routers. Invalid ones are dropped.
func (e *Estimator) SetOthers(others map[upstream.Life]Times) {
	valid := make(map[upstream.Life]Times, len(others))
	for life, s := range others {
		if s.Base > 0 && s.Actual > 0 && !math.IsInf(s.Base+s.Actual, 0) {
			valid[life] = s
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.others = valid
}

// OwnPauses returns the pauses measured by this router, by service.
func (e *Estimator) OwnPauses() map[string]Pauses {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := make(map[string]Pauses, len(e.services))
	for name, s := range e.services {
		if !s.own.Empty() {
			own[name] = s.own
		}
	}
	return own
}

// SetOthersPauses replaces the pauses measured by the other routers. Invalid ones are dropped.
func (e *Estimator) SetOthersPauses(others map[string]Pauses) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.others = Pauses{}
	}
	for name, p := range others {
		if p.valid() {
			e.service(name).others = p
		}
	}
}

// BeginPrefill records that a prompt is sent to an engine. It returns nil when its prefill is too
// short to make streams pause.
func (e *Estimator) BeginPrefill(service string, life upstream.Life, expected time.Duration, now time.Time) *Prefill {
	if expected < minPrefill {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &Prefill{estimator: e, service: service, life: life, expected: expected, sent: now}
	e.prefills[life] = append(e.prefills[life], p)
	return p
}

// ObservePause records that a stream of an engine paused between two times. The pause is attributed
// to the longest of this router's prompts that were prefilled there meanwhile.
func (e *Estimator) ObservePause(life upstream.Life, from, to time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var cause *Prefill
	for _, p := range e.prefills[life] {
		if p.overlaps(from, to) && (cause == nil || p.expected > cause.expected) {
			cause = p
		}
	}
	if cause != nil {
		cause.maxPause = max(cause.maxPause, to.Sub(from))
	}
}
