package pace

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Prefill is a prompt that this router sent to an engine, until End.
type Prefill struct {
	estimator *Estimator
	service   string
	life      upstream.Life
	// expected is the expected prefill time.
	expected time.Duration
	sent     time.Time
	// firstEvent is when the first event arrived; zero before.
	firstEvent time.Time
	// maxPause is the longest pause beside it of a stream of this router.
	maxPause time.Duration
}

// FirstEvent records that the first event has arrived: the prompt is prefilled.
func (p *Prefill) FirstEvent(now time.Time) {
	if p == nil {
		return
	}
	p.estimator.mu.Lock()
	defer p.estimator.mu.Unlock()
	p.firstEvent = now
}

// End removes the prompt and learns from the pauses beside it.
func (p *Prefill) End() {
	if p == nil {
		return
	}
	p.estimator.mu.Lock()
	defer p.estimator.mu.Unlock()
	prefills := p.estimator.prefills[p.life]
	for i, other := range prefills {
		if other == p {
			prefills[i] = prefills[len(prefills)-1]
			prefills = prefills[:len(prefills)-1]
			break
		}
	}
	if len(prefills) == 0 {
		delete(p.estimator.prefills, p.life)
	} else {
		p.estimator.prefills[p.life] = prefills
	}
	if p.maxPause > 0 && !p.firstEvent.IsZero() {
		p.estimator.service(p.service).own.observe(p.expected, p.maxPause)
	}
}

// overlaps reports whether the prompt was being prefilled at some time between from and to.
func (p *Prefill) overlaps(from, to time.Time) bool {
	return p.sent.Before(to) && (p.firstEvent.IsZero() || p.firstEvent.After(from))
}
