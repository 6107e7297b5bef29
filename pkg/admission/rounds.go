package admission

import "time"

const (
	// initialRoundSize, minRoundSize and maxRoundSize are the initial, smallest and largest number
	// of connections admitted before other goroutines get the CPU.
	initialRoundSize = 32
	minRoundSize     = 4
	maxRoundSize     = 256
	// slowRound is the time for other goroutines above which a round counts as slow: the next
	// one is smaller, and connections that still wait are shed, as they would wait for another
	// round. Below fastRound the next round is larger.
	slowRound = 80 * time.Millisecond
	fastRound = 40 * time.Millisecond
	// overloadMemory is the time within which a second slow round means overload. Under a CPU
	// quota, several rounds may pass between two that are interrupted by its pauses.
	overloadMemory = 5 * time.Second
	// roundTTL is how long the duration of a round is relevant for the next one.
	roundTTL = 500 * time.Millisecond
)

// rounds determines how many connections are admitted per round.
type rounds struct {
	// size is the size of this round, admitted the number of connections admitted in it.
	size, admitted int
	// took is how long other goroutines had the CPU after the last round, ended when that round
	// ended.
	took  time.Duration
	ended time.Time
	// lastSlow is when the last slow round ended, wasSlowBefore whether another one ended shortly
	// before it.
	lastSlow      time.Time
	wasSlowBefore bool
	// perQuotaPeriod is the recent number of admitted connections per quota period.
	perQuotaPeriod int
}

// countAdmitted counts an admitted connection.
func (r *rounds) countAdmitted() { r.admitted++ }

// full reports whether the round should end.
func (r *rounds) full() bool { return r.admitted >= r.size }

// slow reports whether the last round was slow and recent.
func (r *rounds) slow(now time.Time) bool { return r.took > slowRound && now.Sub(r.ended) < roundTTL }

// restart restarts the round because no connection waits. The duration of the last round is kept.
func (r *rounds) restart() { r.admitted = 0 }

// reset forgets the last round, but not the time of the last slow one.
//
// In its time slice an overloaded router catches up and is idle for some milliseconds. If rounds
// doubled from there on, they would reach 256 connections within one slice; reading these takes the
// CPU for a second, and connections that arrive meanwhile get no response.
func (r *rounds) reset() { *r = rounds{size: initialRoundSize, lastSlow: r.lastSlow} }

// startNext starts a round after other goroutines had the CPU for the given time. While a slow
// round was recent, rounds grow by steps instead of doubling, see reset.
//
// Under a CPU quota each pause makes a round slow, whatever its size. If each of them halved the
// round, far fewer connections would be admitted than the process can serve.
func (r *rounds) startNext(took time.Duration, now time.Time) {
	r.admitted, r.took, r.ended = 0, took, now
	if took > slowRound {
		r.wasSlowBefore = now.Sub(r.lastSlow) < overloadMemory
		r.lastSlow = now
	}
	switch {
	case took > slowRound:
		r.size = max(minRoundSize, r.size/2, min(r.size, r.perQuotaPeriod))
	case took < fastRound && now.Sub(r.lastSlow) < overloadMemory:
		r.size = min(maxRoundSize, r.size+minRoundSize)
	case took < fastRound:
		r.size = min(maxRoundSize, 2*r.size)
	}
}

// overloaded reports whether the last round was slow, and another one was recently.
//
// A single slow round may be a pause by a CPU quota or a noisy neighbour; treating it as overload
// would shed a whole burst on a host that is idle a moment later. The second slow round need not be
// the next one: under a quota, fast rounds lie between the slow ones, and a router that waits for
// two in a row leaves most callers without a response.
func (r *rounds) overloaded(now time.Time) bool { return r.slow(now) && r.wasSlowBefore }
