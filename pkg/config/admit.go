package config

import (
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// retryStale is what a caller of a stale router is told to wait, unless it tries
// another entry at once.
const retryStale = time.Second

// Basis says why a router may accept requests, or that it may not.
type Basis string

// Bases of admission.
const (
	// BasisNone: nothing is accepted.
	BasisNone Basis = "none"
	// BasisConfirmed: the version in force was confirmed within ConfirmWithin.
	BasisConfirmed Basis = "confirmed"
	// BasisMajority: the table is out, and a majority of the members is reached.
	BasisMajority Basis = "majority"
)

// Admit says whether this router may accept a request at now. Its error is a
// *verdict.Error: not run, CodeStale, status 503.
func (l *Live) Admit(now time.Time) error {
	if l.Basis(now) != BasisNone {
		return nil
	}
	message := "this router can't confirm that its configuration is current"
	if l.Current() == nil {
		message = "this router has no configuration yet"
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeStale, message).WithRetryAfter(retryStale)
}

// Basis works out on what ground the version in force may be used at now.
//
// The failure it guards against: a router that is cut off goes on with a
// configuration that was replaced, so that a withdrawn key still opens the fleet. It
// shows as answers with an old version after a change was accepted. A confirmation is
// counted from when it was asked for, so it lapses on the router's own clock whatever
// happens to messages; and without the table only a majority goes on, of which there
// can't be two.
func (l *Live) Basis(now time.Time) Basis {
	if l.confirmedWithin(now) {
		return BasisConfirmed
	}
	// Asked without the lock: Reach belongs to another duty.
	alive, known := l.reachable()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byMajority(now, alive, known) {
		return BasisMajority
	}
	return BasisNone
}

func (l *Live) confirmedWithin(now time.Time) bool {
	age, ok := l.Confirmed(now)
	return ok && age <= l.opts.ConfirmWithin
}

func (l *Live) reachable() (alive, known int) {
	if l.opts.Reach == nil {
		return 0, 0
	}
	return l.opts.Reach.Reachable()
}

// fresh is how long one failed read of the table counts.
func (l *Live) fresh() time.Duration { return l.opts.ConfirmWithin * freshFifths / fifths }

// byMajority holds during an outage of the table, when the router reaches more than
// half of the known members and nobody it heard has a newer version. Having heard
// the versions of a majority matters after a restart: the router may have got an old
// snapshot from the first peer it met.
func (l *Live) byMajority(now time.Time, alive, known int) bool {
	cur := l.cur.Load()
	if cur == nil {
		return false
	}
	settle := l.opts.ConfirmWithin * settleFifths / fifths
	if !l.outage.proven(now, settle, l.fresh()) {
		return false
	}
	told := len(l.heard.versions) + 1 // this router knows its own
	return alive*2 > known && told*2 > known && l.newest() <= cur.Snapshot.Version
}
