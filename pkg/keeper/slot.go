package keeper

import (
	"cmp"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// slot is one slot in use, either granted here or reported as running by a router.
type slot struct {
	claimKey
	org      string
	upstream *upstream
	claim    *claim // nil when the slot is known only from a report
	alone    bool
	started  bool // a report listed it as running
	// omitted is set when a Full report listed the claim nowhere since the last copy of the
	// grant.
	omitted bool
	// unaskedResends counts the copies of the grant that the router didn't ask for.
	unaskedResends int

	grantedAt     time.Time // first grant
	lastSent      time.Time // last copy of the grant
	lastConfirmed time.Time // when the router was last known to hold it
	freeAt        time.Time // when it is freed because its router died or restarted; zero while the router is alive

	cost         wire.Units // service delivered, as the router reported
	advancedAt   time.Time  // when cost last grew
	charged      wire.Units // part of cost that is charged to the organisation's counter
	expectedCost wire.Units // part of the expected cost that isn't delivered yet
}

// grantExpired reports whether the router can't start the grant any more.
func (s *slot) grantExpired(o *Options, now time.Time) bool {
	return !now.Before(s.lastSent.Add(o.TTL + o.TTLMargin))
}

// reclaimDue reports whether the slot is to be reclaimed because of elapsed time alone.
// lastHeard is the last message of the router's current incarnation: most reports list only
// changes, so any message of a living router confirms all its slots until a Full report
// says otherwise.
func (s *slot) reclaimDue(o *Options, lastHeard, now time.Time) bool {
	switch {
	case !s.freeAt.IsZero():
		return !now.Before(s.freeAt)
	case s.omitted && s.grantExpired(o, now):
		return true
	case lastHeard.Before(s.lastConfirmed):
		lastHeard = s.lastConfirmed
	}
	return !now.Before(lastHeard.Add(o.SilenceTimeout))
}

func compareSlots(a, b *slot) int {
	return cmp.Or(
		cmp.Compare(a.router, b.router),
		cmp.Compare(a.incarnation, b.incarnation),
		cmp.Compare(a.id, b.id),
	)
}
