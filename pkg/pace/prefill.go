package pace

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Reading is a prompt that this router sent to an engine, until End.
type Reading struct {
	book    *Book
	service string
	life    upstream.Life
	// expected is the expected prefill time.
	expected time.Duration
	sent     time.Time
	// firstEvent is when the first event arrived; zero before.
	firstEvent time.Time
	// maxPause is the longest pause beside it of a stream of this router.
	maxPause time.Duration
}

// Read records that the first event has arrived: the prompt is prefilled.
func (r *Reading) Read(now time.Time) {
	if r == nil {
		return
	}
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	r.firstEvent = now
}

// End removes the prompt and learns from the pauses beside it.
func (r *Reading) End() {
	if r == nil {
		return
	}
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	prefills := r.book.prefills[r.life]
	for i, other := range prefills {
		if other == r {
			prefills[i] = prefills[len(prefills)-1]
			prefills = prefills[:len(prefills)-1]
			break
		}
	}
	if len(prefills) == 0 {
		delete(r.book.prefills, r.life)
	} else {
		r.book.prefills[r.life] = prefills
	}
	if r.maxPause > 0 && !r.firstEvent.IsZero() {
		r.book.service(r.service).own.observe(r.expected, r.maxPause)
	}
}

// overlaps reports whether the prompt was being prefilled at some time between from and to.
func (r *Reading) overlaps(from, to time.Time) bool {
	return r.sent.Before(to) && (r.firstEvent.IsZero() || r.firstEvent.After(from))
}
