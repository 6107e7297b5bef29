package affinity

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension of the host that counts.
const minSuspension = 100 * time.Millisecond

// wakeDetector notices that the host was suspended. The monotonic clock stands still meanwhile, so
// whatever was learned before looks younger than it is.
type wakeDetector struct {
	mu        sync.Mutex
	suspended time.Duration
	started   bool
	wokeAt    time.Time
}

// since returns when the host was last found to have been suspended; zero for never.
func (d *wakeDetector) since(now time.Time) time.Time {
	total, ok := suspendedTime()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !ok {
		return d.wokeAt
	}
	if d.started && total-d.suspended >= minSuspension {
		d.wokeAt = now
	}
	d.suspended, d.started = total, true
	return d.wokeAt
}

// maxClockReading is the longest time between two readings of the clock that are compared: a process
// that waits for the CPU between them would seem to have been suspended.
const maxClockReading = minSuspension / 4

// suspendedTime returns how long the host has been suspended since it started; ok is false where the
// clocks can't be compared.
func suspendedTime() (suspended time.Duration, ok bool) {
	var before, all, after unix.Timespec
	for _, reading := range []struct {
		clock int32
		time  *unix.Timespec
	}{{unix.CLOCK_MONOTONIC, &before}, {unix.CLOCK_BOOTTIME, &all}, {unix.CLOCK_MONOTONIC, &after}} {
		if unix.ClockGettime(reading.clock, reading.time) != nil {
			return 0, false // the kernel has no such clock
		}
	}
	return time.Duration(all.Nano() - before.Nano()), time.Duration(after.Nano()-before.Nano()) < maxClockReading
}
