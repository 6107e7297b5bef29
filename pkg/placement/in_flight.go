package placement

import "github.com/flamingowind/flamingowind/pkg/upstream"

// InFlight is one request in flight that a LoadTracker counts until End.
type InFlight struct {
	tracker       *LoadTracker
	life          upstream.Life
	prefillTokens int
	kvTokens      int
	// pauseWeight and longPrompts are what it adds to the load.
	pauseWeight, longPrompts int
	ended                    bool
}

// MarkPrefilled records that the prompt has been prefilled: its first event has arrived.
func (f *InFlight) MarkPrefilled() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	f.markPrefilled()
}

func (f *InFlight) markPrefilled() {
	if load := f.tracker.own[f.life]; load != nil {
		load.PrefillTokens -= f.prefillTokens
		load.LongPrompts -= f.longPrompts
	}
	f.prefillTokens, f.longPrompts = 0, 0
}

// MarkLate records that the stream is late already: a further pause does it no harm.
func (f *InFlight) MarkLate() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	f.markLate()
}

func (f *InFlight) markLate() {
	if load := f.tracker.own[f.life]; load != nil {
		load.PauseWeight -= f.pauseWeight
	}
	f.pauseWeight = 0
}

// End removes the request from the load. Only the first call has an effect.
func (f *InFlight) End() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.markPrefilled()
	f.markLate()
	load := f.tracker.own[f.life]
	load.Running--
	load.KVTokens -= f.kvTokens
	if load.Running == 0 {
		delete(f.tracker.own, f.life)
	}
}
