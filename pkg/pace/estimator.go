package pace

import (
	"math"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// minPrefill is the prefill time from which on the pauses beside a prompt are measured.
const minPrefill = 100 * time.Millisecond

// LeastPause is the pause of a stream from which on callers should report it.
const LeastPause = minPrefill

// Book estimates the speed of engines and the pauses beside prompts. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	own      map[upstream.Life]*decayingSum
	others   map[upstream.Life]Sum
	services map[string]*serviceEstimate
	prefills map[upstream.Life][]*Reading
}

// serviceEstimate holds the estimates that the engines of one service share.
type serviceEstimate struct {
	contextScale contextScale
	// own holds the pauses measured by this router, others those of the other routers.
	own, others Pauses
}

// NewBook returns a Book without measurements: it estimates what the settings say.
func NewBook() *Book {
	return &Book{own: make(map[upstream.Life]*decayingSum), services: make(map[string]*serviceEstimate),
		prefills: make(map[upstream.Life][]*Reading)}
}

func (b *Book) service(name string) *serviceEstimate {
	s := b.services[name]
	if s == nil {
		s = new(serviceEstimate)
		b.services[name] = s
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
	// Seen is the time from sending the prompt to its first event.
	Seen time.Duration
}

const (
	// minRatio and maxRatio bound the effect of one measurement: a prompt may have waited for a
	// reason other than the engine's speed.
	minRatio = 0.33
	maxRatio = 4.0
)

// Observe learns from a prefilled prompt. A prompt whose expected queue was longer than its own
// prefill is ignored: its time depends more on the queue than on the engine.
func (b *Book) Observe(s Sample, now time.Time) {
	if s.Base <= 0 || s.Queue > s.Base {
		return
	}
	base := ms(s.Base)
	measured := min(maxRatio*base, max(minRatio*base, ms(s.Seen-s.Queue)))
	b.mu.Lock()
	defer b.mu.Unlock()
	slowness := b.sum(s.Life, now).slowness()
	b.service(s.Service).contextScale.observe(s.Context, measured/(base*slowness))
	d := b.own[s.Life]
	if d == nil {
		d = &decayingSum{updatedAt: now}
		b.own[s.Life] = d
	}
	d.decay(now)
	d.sum = d.sum.plus(Sum{Expected: base, Seen: measured})
}

// sum adds up the measurements of all routers for a life.
func (b *Book) sum(life upstream.Life, now time.Time) Sum {
	total := b.others[life]
	if d := b.own[life]; d != nil {
		d.decay(now)
		total = total.plus(d.sum)
	}
	return total
}

// Slowness is the estimated prefill time of an engine in its present life, over the usual one.
func (b *Book) Slowness(life upstream.Life, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum(life, now).slowness()
}

// Scale is the prefill time of a token of a prompt with that context, over that of a short prompt's
// token.
func (b *Book) Scale(service string, context int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(service).contextScale.scale(context)
}

// Curve returns the present estimate of the pauses beside prompts at the engines of a service.
func (b *Book) Curve(service string) Curve {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	all := s.own.plus(&s.others)
	return all.curve()
}

// minReportedMs is the sum of expected times, in ms, below which a measurement isn't reported.
const minReportedMs = 1.0

// Own returns the measurements of this router, by life.
func (b *Book) Own(now time.Time) map[upstream.Life]Sum {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[upstream.Life]Sum, len(b.own))
	for life, d := range b.own {
		d.decay(now)
		if d.sum.Expected < minReportedMs {
			delete(b.own, life)
			continue
		}
		own[life] = d.sum
	}
	return own
}

// SetOthers replaces the measurements of the other routers. Invalid sums are dropped.
func (b *Book) SetOthers(others map[upstream.Life]Sum) {
	valid := make(map[upstream.Life]Sum, len(others))
	for life, s := range others {
		if s.Expected > 0 && s.Seen > 0 && !math.IsInf(s.Expected+s.Seen, 0) {
			valid[life] = s
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = valid
}

// OwnPauses returns the pauses measured by this router, by service.
func (b *Book) OwnPauses() map[string]Pauses {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[string]Pauses, len(b.services))
	for name, s := range b.services {
		if !s.own.Empty() {
			own[name] = s.own
		}
	}
	return own
}

// SetOthersPauses replaces the pauses measured by the other routers. Invalid ones are dropped.
func (b *Book) SetOthersPauses(others map[string]Pauses) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		s.others = Pauses{}
	}
	for name, p := range others {
		if p.valid() {
			b.service(name).others = p
		}
	}
}

// Begin records that a prompt is sent to an engine. It returns nil when its prefill is too short to
// make streams pause.
func (b *Book) Begin(service string, life upstream.Life, expected time.Duration, now time.Time) *Reading {
	if expected < minPrefill {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Reading{book: b, service: service, life: life, expected: expected, sent: now}
	b.prefills[life] = append(b.prefills[life], r)
	return r
}

// Paused records that a stream of an engine paused between two times. The pause is attributed to
// the longest of this router's prompts that were prefilled there meanwhile.
func (b *Book) Paused(life upstream.Life, from, to time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var cause *Reading
	for _, r := range b.prefills[life] {
		if r.overlaps(from, to) && (cause == nil || r.expected > cause.expected) {
			cause = r
		}
	}
	if cause != nil {
		cause.maxPause = max(cause.maxPause, to.Sub(from))
	}
}
