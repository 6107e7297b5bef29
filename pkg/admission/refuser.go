package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// lookEvery is the pause between two looks at connections that are turned away.
	lookEvery = 20 * time.Millisecond
	// answersALook bounds the refusals that are written in one look. A process that gets little
	// processor looks less often, so that serving stays the larger part of what it does.
	answersALook = 160
	// refusalsPerCore bounds the connections that are turned away in a second: at 26 µs of
	// processor each, seven system calls, they take about a sixth of it. Without a bound they
	// took over a third, and hardly anything was served.
	refusalsPerCore = 6000
	// refusalsBurst is how many may be refused at once after a pause.
	refusalsBurst = 128
	// mostRefused bounds the connections that are being refused, in descriptors.
	mostRefused = 768
)

// refuser answers connections that are turned away.
type refuser struct {
	// refusal is what those that are turned away now are answered.
	refusal func(now time.Time) []byte
	count   atomic.Int64
	pace    *rate.Limiter

	mu   sync.Mutex
	list []refused // the oldest first
	// skip takes what is read and not used.
	skip []byte
	// looking is whether a look is due.
	looking bool
	ended   bool
}

// add turns a connection away.
func (r *refuser) add(one refused) {
	r.count.Add(1)
	r.pace.AllowN(one.since, 1) // one that was let in may come on top
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		one.close()
		return
	}
	r.list = append(r.list, one)
	r.schedule()
}

// hasRoom reports whether one more connection can be refused now.
func (r *refuser) hasRoom(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list) < mostRefused && r.pace.TokensAt(now) >= 1
}

// pace bounds refusals to what a host with that many cores can bear.
func pace(cores float64) *rate.Limiter {
	if cores <= 0 {
		return rate.NewLimiter(rate.Inf, refusalsBurst)
	}
	return rate.NewLimiter(rate.Limit(refusalsPerCore*cores), refusalsBurst)
}

// schedule has the connections looked at after a while.
func (r *refuser) schedule() {
	if r.looking || len(r.list) == 0 {
		return
	}
	r.looking = true
	time.AfterFunc(lookEvery, r.look)
}

// look goes on with the connections that are turned away, the oldest first.
func (r *refuser) look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.skip == nil {
		r.skip = make([]byte, skipBytes)
	}
	now := time.Now()
	refusal := r.refusal(now)
	rest := make([]refused, 0, len(r.list))
	left := answersALook
	for _, one := range r.list {
		fresh := one.answered.IsZero()
		if fresh && left == 0 {
			rest = append(rest, one)
			continue
		}
		if one.step(refusal, r.skip, now) {
			one.close()
			continue
		}
		if fresh && !one.answered.IsZero() {
			left--
		}
		rest = append(rest, one)
	}
	r.list, r.looking = rest, false
	r.schedule()
}

// close closes all, and from now on each at once.
func (r *refuser) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, one := range r.list {
		one.close()
	}
	r.list = nil
}
