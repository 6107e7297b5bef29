package warmup

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// window is the time over which requests are counted: a second, plus a margin for clocks and the
// latency to an upstream.
const window = 1100 * time.Millisecond

// warmupState is the state of the warm-up of one life of an upstream.
type warmupState struct {
	// reportedAt is when reportedLeft was received.
	reportedAt time.Time
	// reported is whether the upstream reported how long it stays cold, reportedLeft that duration.
	reported     bool
	reportedLeft time.Duration

	// assigned is whether the life is assigned to this router by the roster of rosterAt,
	// assignedSince since when. partitionedAssignees is the number of lost routers that may send to
	// it as well.
	assigned                bool
	partitionedAssignees    int
	rosterAt, assignedSince time.Time
	// withdrawn is whether this router has stopped sending to it because its list of upstreams is
	// out of date.
	withdrawn bool
	// assignedWhilePartitioned is the same for a partitioned router, by the roster of
	// partitionedRosterAt.
	assignedWhilePartitioned bool
	partitionedRosterAt      time.Time
	// sent holds the times of the requests within the current window.
	sent []time.Time
}

// cold reports whether the upstream is cold, for a service with the given warm-up. A report can
// only shorten the warm-up.
func (l *warmupState) cold(warmup time.Duration, now time.Time) bool {
	return now.Before(l.reportedAt.Add(l.remaining(warmup)))
}

// remaining returns how long the upstream stays cold from reportedAt on.
func (l *warmupState) remaining(warmup time.Duration) time.Duration {
	if !l.reported {
		return warmup
	}
	return min(max(0, l.reportedLeft), warmup)
}

// allows reports whether this router may send one more request to the life, which is cold, or may
// be because the router is partitioned.
func (l *warmupState) allows(key upstream.Life, v *view, p allocation, cold bool, now time.Time) bool {
	switch {
	case cold && !v.current:
		l.withdraw()
		return false
	case cold || v.roster.seesMajority():
		l.assign(key, &v.roster, p.assignees, now)
		return l.hasQuota(p.limitBeside(l.partitionedAssignees), now)
	}
	l.assignWhilePartitioned(key, &v.roster, p.assignees)
	return l.hasPartitionedQuota(p.partitionedLimit, now)
}

// assign updates whether the life is assigned to this router: from now on, or for a new life from
// the time at which the router joined, as no other router has sent to it before.
func (l *warmupState) assign(key upstream.Life, r *Roster, assignees int, now time.Time) {
	if l.rosterAt.Equal(r.Since) && !l.rosterAt.IsZero() && !l.withdrawn {
		return
	}
	assigned := r.isAssigned(key, assignees)
	switch {
	case l.rosterAt.IsZero() && !l.withdrawn:
		l.assignedSince = r.Joined
	case assigned && !l.assigned:
		l.assignedSince = now
	}
	l.assigned, l.partitionedAssignees, l.rosterAt, l.withdrawn = assigned, r.countPartitionedAssignees(key, assignees), r.Since, false
}

// withdraw records that this router's list is out of date. Others may take its place, so it waits
// like a new assignee afterwards.
func (l *warmupState) withdraw() { l.assigned, l.withdrawn = false, true }

// assignWhilePartitioned updates whether the life is assigned to this router while it is
// partitioned.
func (l *warmupState) assignWhilePartitioned(key upstream.Life, r *Roster, assignees int) {
	if !l.partitionedRosterAt.Equal(r.Since) || l.partitionedRosterAt.IsZero() {
		l.assignedWhilePartitioned, l.partitionedRosterAt = r.isAssignedWhilePartitioned(key, assignees), r.Since
	}
}

// hasQuota reports whether this router may send one more request, with a limit of each per window.
//
// A new assignee waits for one window, because a previous assignee may have just used up its share.
func (l *warmupState) hasQuota(each int, now time.Time) bool {
	return l.assigned && now.Sub(l.assignedSince) >= window && l.countRecent(now) < each
}

// hasPartitionedQuota reports whether this router may send one more request while it is
// partitioned, with a limit of each per window.
func (l *warmupState) hasPartitionedQuota(each int, now time.Time) bool {
	return l.assignedWhilePartitioned && l.countRecent(now) < each
}

// countRecent returns the number of requests within the last window.
func (l *warmupState) countRecent(now time.Time) int {
	kept := l.sent[:0]
	for _, at := range l.sent {
		if now.Sub(at) < window {
			kept = append(kept, at)
		}
	}
	l.sent = kept
	return len(kept)
}
