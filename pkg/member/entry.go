package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// entry is what a Roster knows of one other router.
type entry struct {
	wire.Member
	// heard is the latest moment at which the member surely lived, by its own message.
	heard time.Time
	// vouched is the same by what other members say that they heard.
	vouched time.Time
	// watched is since when this router pings the member; zero when it doesn't.
	watched time.Time
	// pinged is when the member's latest ping came; skips counts the pings left out since.
	pinged time.Time
	skips  int
	// suspected is since when State is MemberSuspect.
	suspected time.Time
	// accused is a suspicion that was not taken over, zero when there is none.
	accused wire.Member
	// outdated says that the member itself sent an older record than the one known here.
	outdated bool
	// excused is when the accused member last got a fresh period.
	excused time.Time
	// left says that the member announced its leave in this incarnation.
	left bool
	// missing is since when the host list leaves the member out; zero when it doesn't.
	missing time.Time
	// sends is how often the record is still to be gossiped.
	sends int
	// told counts the messages that carried this router's own record of toldSeq.
	told    int
	toldSeq uint64
	// acked is the newest own record that the member answered to.
	acked uint64
	sync  syncState
}

// latest is the latest moment at which the member surely lived, or from which on it
// was watched.
func (e *entry) latest() time.Time {
	t := e.watched
	if e.heard.After(t) {
		t = e.heard
	}
	if e.vouched.After(t) {
		t = e.vouched
	}
	return t
}

// up says that the member counts as alive.
func (e *entry) up() bool { return e.State == wire.MemberAlive || e.State == wire.MemberLeaving }
