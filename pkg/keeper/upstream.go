package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/limit"
)

// upstream is the state of one upstream of the cell.
type upstream struct {
	name       string
	limiter    *limit.Limiter
	running    int
	aloneSlots int // slots whose request must run alone here
	speed      speed
	// declared is set when the upstream is in the cell's configuration. Others are known
	// only by requests that still run there.
	declared bool
	leaving  bool // by the configuration
	marked   bool // as leaving, by the newest mark
}

// usable reports whether the upstream may get new work at all.
func (u *upstream) usable() bool { return u.declared && !u.leaving && !u.marked }

// free returns the number of grants the upstream can take now. Nothing is granted ahead of
// an adaptive limit: the queue inside the engine would look like overload and shrink it.
func (u *upstream) free(now time.Time, ahead int) int {
	if !u.usable() || u.aloneSlots > 0 {
		return 0
	}
	n := u.limiter.Limit(now)
	if n > 0 && u.limiter.Fixed() && !u.limiter.Probing(now) {
		n += ahead
	}
	return max(n-u.running, 0)
}

// healthy reports whether the upstream takes new work and isn't being probed.
func (u *upstream) healthy(now time.Time) bool {
	return u.usable() && u.limiter.Limit(now) > 0 && !u.limiter.Probing(now)
}

// idle reports whether the upstream is healthy and runs nothing.
func (u *upstream) idle(now time.Time) bool {
	return u.running == 0 && u.healthy(now)
}

// freeFraction returns the free fraction of the upstream's slots.
func (u *upstream) freeFraction(now time.Time) float64 {
	n := u.limiter.Limit(now)
	if n == 0 {
		return 0
	}
	return float64(n-u.running) / float64(n)
}
