package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// history keeps the declared configurations.
type history struct {
	store *platformtest.Store

	mu   sync.Mutex
	list []declared
	// leave is when upstreams were told to be leaving.
	leave map[string]time.Time
	// overwritten are the times in which entries of upstreams were another writer's.
	overwritten map[string][]span
	// evacuated are the times in which zones were evacuated, cold those in which upstreams were.
	evacuated, cold map[string][]span
}

// span is a time; to is zero while it lasts.
type span struct{ from, to time.Time }

// declared is a configuration from the moment at which it was acknowledged.
type declared struct {
	platformtest.Declaration
	at time.Time
}

func newHistory(s *platformtest.Store) *history {
	return &history{store: s, leave: make(map[string]time.Time), overwritten: make(map[string][]span),
		evacuated: make(map[string][]span), cold: make(map[string][]span)}
}

// organisations of a run; each has a key that is never taken away.
const organisations = 3

// declare writes the newest configuration with a change. Versions grow in uneven steps.
func (h *history) declare(change func(*platformtest.Declaration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := platformtest.Declaration{Version: 1, Service: mainService, Moved: otherService, Keys: make(map[string]string),
		Warmup: warmup, ColdPerSecond: coldPerSecond}
	if n := len(h.list); n > 0 {
		next = h.list[n-1].Declaration
		next.Version += 1 + n%3
		next.Keys = maps.Clone(next.Keys)
	} else {
		for i := range organisations {
			next.Keys[lastingKey(i)] = organisation(i)
		}
	}
	change(&next)
	h.store.Declare(next)
	h.list = append(h.list, declared{Declaration: next, at: time.Now()})
}

func organisation(i int) string { return fmt.Sprintf("org-%d", i) }

func lastingKey(i int) string { return fmt.Sprintf("key-%d", i) }

// passingKey is given to the first organisation and taken away again.
const passingKey = "key-passing"

// inForce gives the configurations that may be in force for a request that was sent at
// from and ran before to.
func (h *history) inForce(from, to time.Time) []declared {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []declared
	for i, d := range h.list {
		replaced := i+1 < len(h.list) && h.list[i+1].at.Add(inForce+late).Before(from)
		if !replaced && d.at.Before(to) {
			list = append(list, d)
		}
	}
	return list
}

// overwrite notes that an upstream's entry is another writer's from now on.
func (h *history) overwrite(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overwritten[id] = append(h.overwritten[id], span{from: time.Now()})
}

// named notes that an upstream's entry is about to be its own.
func (h *history) named(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.overwritten[id] {
		if s := &h.overwritten[id][i]; s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// unnamed reports whether no entry named an upstream from the sending of a request until it ran,
// nor for as long before as a change needs to be in force.
func (h *history) unnamed(id string, sent, ran time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.overwritten[id], func(s span) bool {
		return sent.After(s.from.Add(inForce+late)) && (s.to.IsZero() || ran.Before(s.to))
	})
}

// leaving notes that an upstream was told to be leaving.
func (h *history) leaving(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leave[id] = time.Now()
}

// leftAt is when an upstream was told to be leaving; zero when it was not.
func (h *history) leftAt(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leave[id]
}
