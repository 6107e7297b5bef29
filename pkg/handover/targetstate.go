package handover

import "time"

const (
	// quietAfter is how long a router may leave all its connections without a byte before it
	// takes no more, lostAfter how long before they are given up.
	quietAfter = 250 * time.Millisecond
	lostAfter  = 3 * time.Second
)

// account is what a relay knows of a router that takes connections.
type account struct {
	// open is the number of connections that it has from here.
	open int
	// owes is since when it was sent bytes without sending any; zero when it did.
	owes time.Time
}

// silent reports whether the router has sent nothing for that long though it was asked.
//
// Guard: a router that freezes or is cut off counts as alive for a second. What is passed on to it
// meanwhile waits for nobody.
func (a *account) silent(after time.Duration, now time.Time) bool {
	return a != nil && a.open > 0 && !a.owes.IsZero() && now.Sub(a.owes) >= after
}

// moved notes bytes to the router and from it.
func (a *account) moved(up, down int, now time.Time) {
	switch {
	case a == nil:
	case down > 0:
		a.owes = time.Time{}
	case up > 0 && a.owes.IsZero():
		a.owes = now
	}
}
