package quarantine

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// entry is the newest suspicion of one content and when it was received, on this router's clock.
type entry struct {
	suspicion  wire.Suspicion
	receivedAt time.Time
}

// supersedes reports whether a replaces b. It is a total order of the suspicions of one content, so
// that merging by maximum is commutative, associative and idempotent. Two routers that record
// something at the same time produce the same Seq; then the more serious suspicion wins.
func supersedes(a, b wire.Suspicion) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	if a.Deaths != b.Deaths {
		return a.Deaths > b.Deaths
	}
	return !a.Cleared && b.Cleared
}

// crashCount returns the number of crashes that still count at now. A confirmed content isn't
// released at once when its suspicion ends: for the same time again, it is a suspect that runs
// alone, so that one more crash confirms it again and affects no other request.
func (e entry) crashCount(now time.Time, c Config) int {
	age := now.Sub(e.receivedAt)
	switch {
	case e.suspicion.Cleared || age >= 2*c.Duration:
		return 0
	case age < c.Duration:
		return int(e.suspicion.Deaths)
	case int(e.suspicion.Deaths) >= c.CrashLimit:
		return c.CrashLimit - 1
	default:
		return 0
	}
}

// expired reports whether the entry can be dropped. Until then it is kept although its suspicion
// has ended: its Seq keeps peers whose suspicion ends later from bringing it back forever.
func (e entry) expired(now time.Time, c Config) bool { return now.Sub(e.receivedAt) >= 2*c.Duration }
