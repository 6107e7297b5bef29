package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fullShare is the share of the link from which on no connection is admitted, busyShare that
	// from which on connections are not kept alive. The rest is for upstreams, peers and the store.
	fullShare = 0.5
	busyShare = 0.4
	// rateWindow is the time constant of the mean rate, minSampleInterval the minimum time between
	// two samples of it, and linkPollInterval the interval of checks while admission is paused.
	rateWindow        = 200 * time.Millisecond
	minSampleInterval = 20 * time.Millisecond
	linkPollInterval  = 5 * time.Millisecond
	// maxAdmissionPause is the longest pause of admission.
	maxAdmissionPause = 500 * time.Millisecond
	// firstFlight is what a caller sends before it gets a response. maxUnreadTime bounds unread
	// data in the backlog, as the time in which the link carries it.
	firstFlight   = 16 << 10
	maxUnreadTime = 250 * time.Millisecond
	// minBacklog and maxBacklog bound the connections that wait to be accepted.
	minBacklog    = 16
	backlogPerMiB = 4
	maxBacklog    = 4096
	// bytesPerMegabit converts a link speed into bytes per second.
	bytesPerMegabit = 1e6 / 8
)

// Backlog returns the number of connections that may wait to be accepted on a host with a link of
// the given speed in megabits per second and so much memory in MiB; 0 means unknown.
//
// A caller sends its request as soon as the kernel has completed the connection. With thousands of
// them the link is full for seconds of data that nobody reads in time, and traffic of peers and the
// store doesn't get through. A connection that isn't completed costs a packet, and its caller tries
// elsewhere.
//
// What they have sent takes memory as well, up to the receive buffer of each.
func Backlog(megabits float64, memoryMiB int) int {
	n := maxBacklog
	if megabits > 0 {
		n = min(n, int(megabits*bytesPerMegabit*maxUnreadTime.Seconds()/firstFlight))
	}
	if memoryMiB > 0 {
		n = min(n, backlogPerMiB*memoryMiB)
	}
	return max(minBacklog, n)
}

// Link measures how much of a host's link callers use. A nil link is never full.
type Link struct {
	// capacity is the link's speed in bytes per second.
	capacity float64
	// received returns the bytes received from callers so far.
	received func() int64
	// paused is how long admission was paused, in nanoseconds.
	paused atomic.Int64

	mu           sync.Mutex
	lastReceived int64
	sampledAt    time.Time
	rate         float64
}

// NewLink returns the link of a host with the given speed in megabits per second; nil when that
// isn't known.
func NewLink(megabits float64, received func() int64) *Link {
	if megabits <= 0 {
		return nil
	}
	return &Link{capacity: megabits * bytesPerMegabit, received: received}
}

// Full reports whether callers use so much of the link that no connection should be admitted.
func (l *Link) Full(now time.Time) bool { return l != nil && l.utilisation(now) > fullShare }

// Busy reports whether callers use so much of the link that connections should not be kept alive.
func (l *Link) Busy(now time.Time) bool { return l != nil && l.utilisation(now) > busyShare }

// PauseTime returns how long admission was paused so far because the link was full.
func (l *Link) PauseTime() time.Duration {
	if l == nil {
		return 0
	}
	return time.Duration(l.paused.Load())
}

// utilisation returns the share of the link that callers use.
func (l *Link) utilisation(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	passed := now.Sub(l.sampledAt)
	if passed < minSampleInterval {
		return l.rate / l.capacity
	}
	received := l.received()
	if !l.sampledAt.IsZero() {
		kept := math.Exp(-passed.Seconds() / rateWindow.Seconds())
		l.rate = l.rate*kept + (1-kept)*float64(received-l.lastReceived)/passed.Seconds()
	}
	l.lastReceived, l.sampledAt = received, now
	return l.rate / l.capacity
}

// waitForCapacity waits until the link is no longer full, or stop reports that nobody needs the
// result any more.
//
// A few callers on admitted connections may fill the link for long. Some new connections are
// admitted all the same, as callers would otherwise take the router for dead.
func (l *Link) waitForCapacity(now func() time.Time, stop func() bool) {
	for paused := time.Duration(0); paused < maxAdmissionPause && !stop() && l.Full(now()); paused += linkPollInterval {
		time.Sleep(linkPollInterval)
		l.paused.Add(int64(linkPollInterval))
	}
}

// SetLink pauses admission while the link is full. It must be called before Accept.
func (l *Listener) SetLink(link *Link) { l.link = link }
