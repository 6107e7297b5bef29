package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// culpritsMaxAge is how long the culprits are reused if nothing changes: parts become refused and cease to
// be by the passing of time.
const culpritsMaxAge = 50 * time.Millisecond

// minUnexplained is the number of crashes without a known culprit from which on a part that has the limit
// of crashes is taken for a culprit as well.
const minUnexplained = 2

// culprits returns the parts that are taken for the cause of the crashes under them.
//
// Parts come together: all requests with a part that crashes upstreams may have their first part in common
// with most others, which has then seen as many crashes. The deepest part is the one that fewest
// requests have, so it is blamed first, and its crashes don't count against the parts that ran beside
// it. If one of those is the cause after all, its requests without the first culprit go on to crash
// upstreams, which nothing else explains.
func (t *tracker) culprits(now time.Time) map[uint64]bool {
	if age := now.Sub(t.culpritsAt); t.culpritsOf == t.changes.Load() && t.known != nil && age >= 0 && age < culpritsMaxAge {
		return t.known
	}
	t.known, t.culpritsAt, t.culpritsOf = make(map[uint64]bool), now, t.changes.Load()
	explained := newExplanation()
	t.explained = explained
	candidates := t.candidates(now)
	if len(candidates) == 0 {
		return t.known
	}
	all := t.entries(now)
	for _, e := range candidates {
		left := e.without(explained)
		if len(left) < minUnexplained {
			continue
		}
		t.excludeContent(now, left)
		if len(left) < minUnexplained || t.hasDeeperSuspect(now, all, e.depth, left) {
			continue
		}
		t.known[e.content] = true
		explained.add(e, t.config.CrashLimit)
	}
	return t.known
}

// excludeContent removes the crashes of one whole request that is refused, that with most of them. There may be
// many which ran again and again beside a part that crashes upstreams, and together they would explain all
// of its crashes.
func (t *tracker) excludeContent(now time.Time, left map[uint32]time.Time) {
	if t.contents == nil {
		return
	}
	var most *entry
	for _, e := range t.contents.confirmed.Values() {
		if t.contents.countAlone(now, e) >= t.contents.config.CrashLimit && (most == nil || e.crashesAmong(left) > most.crashesAmong(left)) {
			most = e
		}
	}
	if most == nil {
		return
	}
	explained := newExplanation()
	explained.add(most, t.contents.config.CrashLimit)
	maps.DeleteFunc(left, explained.has)
}

// hasDeeperSuspect reports whether an entry of one of all parts, deeper than that at depth, ran beside all but a few of the crashes that
// are left, and lacks crashes itself. If it is the cause, one more crash shows that; refusing the other would
// hide it for good, as no request with the deeper part would run any more.
func (t *tracker) hasDeeperSuspect(now time.Time, all []*entry, depth int, left map[uint32]time.Time) bool {
	return slices.ContainsFunc(all, func(s *entry) bool {
		return s.depth/t.config.Scopes > depth/t.config.Scopes && len(left)-len(s.crashes) < minUnexplained && // few have so many
			s.crashCount(now, t.config) > 0 && len(left)-s.crashesAmong(left) < minUnexplained
	})
}

// without returns the upstreams whose crashes under the entry are not explained, and when they crashed.
func (e *entry) without(explained *explanation) map[uint32]time.Time {
	left := make(map[uint32]time.Time)
	for _, c := range e.crashes {
		if !explained.has(c.upstream, c.at) {
			left[c.upstream] = c.at
		}
	}
	return left
}

// crashesAmong returns the number of crashes of these upstreams.
func (e *entry) crashesAmong(upstreams map[uint32]time.Time) (n int) {
	for _, c := range e.crashes {
		if _, ok := upstreams[c.upstream]; ok {
			n++
		}
	}
	return n
}

// explainedCrashes returns the crashes that refused parts explain. It must not be changed.
func (t *tracker) explainedCrashes(now time.Time) *explanation {
	t.culprits(now)
	return t.explained
}

// candidates returns the entries with enough crashes, the deepest first.
func (t *tracker) candidates(now time.Time) []*entry {
	list := slices.DeleteFunc(t.confirmed.Values(), func(e *entry) bool {
		return e.crashCount(now, t.config) < t.config.CrashLimit || now.Sub(e.crashes[0].at) < t.config.Settle || t.wasSound(e)
	})
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(a.content, b.content))
	})
	return list
}
