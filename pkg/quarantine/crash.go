package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// crash is one crash of an upstream while a content ran on it.
type crash struct {
	// upstream identifies the life of the upstream that ended. All routers use the same number for it, so
	// a crash that several of them see counts once.
	upstream uint32
	// at is when a run was lost by it, on this router's clock.
	at time.Time
	// alone says that nothing else ran there.
	alone bool
	// changed is the number of the change with which it was sent first; 0 until then.
	changed uint64
}

func compareCrashes(a, b crash) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.upstream, b.upstream))
}

// maxTransit is how long a report may be on its way. Its times are ages, and so later here by as much: a time that
// is later by less is the one that is known. Taken over from report to report, it would move on and on.
const maxTransit = 100 * time.Millisecond

// addCrash adds c to a list in order of time, and reports whether the list has a new upstream.
func addCrash(list []crash, c crash) ([]crash, bool) {
	i := slices.IndexFunc(list, func(old crash) bool { return old.upstream == c.upstream })
	added := i < 0
	if added {
		i, list = len(list), append(list, c)
	}
	switch old, later := &list[i], c.at.Sub(list[i].at); {
	case later >= maxTransit:
		*old = c
	case later >= 0:
		old.alone = old.alone || c.alone
	}
	slices.SortFunc(list, compareCrashes)
	return list, added
}

// maxCrashes is the number of crashes that are kept of one content or part, as a multiple of the limit. Those
// of a part explain the crashes of others that ran beside it, so it has to be well over the number of
// crashes until all routers refuse it.
const maxCrashes = 12

// trimCrashes drops the middle of a list that is too long. The first and the last crashes decide whether
// and how long the content is refused.
func trimCrashes(list []crash, limit int) []crash {
	if over := len(list) - maxCrashes*limit; over > 0 {
		return slices.Delete(list, limit, limit+over)
	}
	return list
}
