package quarantine

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// entry is what is known of one content: the crashes since it was last known to be sound.
//
// Merging two entries takes the later time of soundness and the union of the crashes after it, which is
// commutative, associative and idempotent, and loses no crash.
type entry struct {
	content uint64
	// depth is the position of a part in prompts, the largest that was seen.
	depth int
	// soundAt is the time up to which crashes don't count; zero for none.
	soundAt time.Time
	crashes []crash
	// changed is the number of the last change, see List.News.
	changed uint64
}

// sightingSpread is how far apart routers may see the same crash. Their clocks are compared by ages in
// messages, which are on their way for a while.
const sightingSpread = 500 * time.Millisecond

// markSound makes all crashes up to at count no more, and reports whether there were any, or whether at is
// clearly later than what was known.
func (e *entry) markSound(at time.Time) bool {
	if !at.After(e.soundAt) {
		return false
	}
	news := at.Sub(e.soundAt) > sightingSpread
	e.soundAt = at
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return !c.at.After(at) })
	return news || len(e.crashes) < before
}

// isKnownSound reports whether a peer's time of soundness may be the one that is known, delayed by the report. Taken
// over with each report, it would move on until it passes crashes that came after it.
func (e *entry) isKnownSound(at time.Time) bool {
	return at.Sub(e.soundAt) < maxTransit && !slices.ContainsFunc(e.crashes, func(c crash) bool { return !c.at.After(at) })
}

// add adds a crash, and reports whether it counts and wasn't known.
func (e *entry) add(c crash, limit int) (added bool) {
	if !c.at.After(e.soundAt) {
		return false
	}
	e.crashes, added = addCrash(e.crashes, c)
	e.crashes = trimCrashes(e.crashes, limit)
	return added && slices.ContainsFunc(e.crashes, func(kept crash) bool { return kept.upstream == c.upstream })
}

// lastCrash returns the time of the last crash; zero for none.
func (e *entry) lastCrash() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].at
}

// total returns the number of crashes. Those beside other requests count only up to one below the limit:
// a zone that loses power takes down many upstreams at once, each of which may run the same popular
// content, so only the crash of a suspect that ran alone confirms it.
func (e *entry) total(limit int) int {
	alone := 0
	for _, c := range e.crashes {
		if c.alone {
			alone++
		}
	}
	return min(len(e.crashes)-alone, limit-1) + alone
}

// crashCount returns the number of crashes that still count at now. A confirmed content isn't
// released at once when its suspicion ends: for the same time again, it is a suspect, so that one
// more crash confirms it again.
func (e *entry) crashCount(now time.Time, c Config) int {
	total, age := e.total(c.CrashLimit), now.Sub(e.lastCrash())
	switch {
	case total == 0 || age >= 2*c.Duration:
		return 0
	case age < c.Duration:
		return total
	case total >= c.CrashLimit:
		return c.CrashLimit - 1
	default:
		return 0
	}
}

// moments returns the number of crashes, those within d after one of them left out.
func (e *entry) moments(d time.Duration, limit int) (n int) {
	if e.isFull(limit) {
		return 1 + int(e.span()/d)
	}
	var last time.Time
	for _, c := range e.crashes {
		if n == 0 || c.at.Sub(last) >= d {
			n, last = n+1, c.at
		}
	}
	return n
}

// isFull reports whether crashes may have been dropped from the middle of the list.
func (e *entry) isFull(limit int) bool { return len(e.crashes) >= maxCrashes*limit }

// span returns the time between the first and the last crash.
func (e *entry) span() time.Duration { return e.lastCrash().Sub(e.crashes[0].at) }

// expired reports whether the entry can be dropped. Until then it is kept although its suspicion
// has ended: peers may still send crashes that it has cleared.
func (e *entry) expired(now time.Time, c Config) bool {
	last := e.lastCrash()
	if e.soundAt.After(last) {
		last = e.soundAt
	}
	return now.Sub(last) >= 2*c.Duration
}

// change numbers a change of the entry, and the crashes that came with it.
func (e *entry) change(number uint64) {
	e.changed = number
	for i := range e.crashes {
		if e.crashes[i].changed == 0 {
			e.crashes[i].changed = number
		}
	}
}

// encode returns the entry for a peer that has the crashes up to a change: merging is a union, so they needn't be sent
// again. Up to the limit they are, as the peer may have dropped a suspect; what is refused isn't dropped.
func (e *entry) encode(now time.Time, after uint64, limit int) wire.Suspicion {
	s := wire.Suspicion{Content: e.content}
	if !e.soundAt.IsZero() {
		s.Sound = 1 + max(0, now.Sub(e.soundAt).Milliseconds())
	}
	for _, c := range e.crashes {
		if len(e.crashes) > limit && c.changed != 0 && c.changed <= after {
			continue
		}
		s.Crashes = append(s.Crashes, wire.Crash{Upstream: c.upstream, AgeMs: max(0, now.Sub(c.at).Milliseconds()), Alone: c.alone})
	}
	return s
}
