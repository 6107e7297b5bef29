package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// pace is the number of heartbeats between two exchanges with a member when there is no
// news. SuspectAfter must leave room for one exchange and for questions to others, so
// two heartbeats need three of silence.
func (o *Options) pace() int {
	if o.SuspectAfter >= 3*o.Heartbeat {
		return 2
	}
	return 1
}

// beats gives a number of heartbeats, in quarters.
func (o *Options) beats(quarters int) time.Duration {
	return time.Duration(quarters) * o.Heartbeat / 4
}

// overdueAfter is the silence from which others are asked about a member: half of
// SuspectAfter, but longer than a quiet member is silent anyway.
func (o *Options) overdueAfter() time.Duration {
	return max(o.SuspectAfter/2, o.beats(4*o.pace()+1))
}

// suspectAfter is the silence from which a member is suspected. A tick that comes a
// moment late must not skip the heartbeat in which others are asked.
func (o *Options) suspectAfter() time.Duration { return o.SuspectAfter + o.beats(1) }

// maxSkips bounds the heartbeats in a row in which a member that pings this router gets
// no ping back: only an answer confirms the configuration.
const maxSkips = 6

// maySkip says that e needs no ping now: it was heard a moment ago and there is nothing
// to tell it. Of two routers that ping each other the one with the larger ID waits for
// the other's ping, so one exchange stays.
func (r *Roster) maySkip(now time.Time, e *entry, news bool) bool {
	if news || r.newsFor(e) {
		e.skips = 0
		return false
	}
	silence := now.Sub(e.heard)
	if silence < r.opts.beats(4*r.opts.pace()-2) {
		return true
	}
	waits := r.self.ID > e.ID && now.Sub(e.pinged) <= r.opts.beats(4*r.opts.pace()+2)
	if !waits || e.skips >= maxSkips {
		e.skips = 0
		return false
	}
	e.skips++
	return true
}

// newsFor says that something must go to e, or come from it, without delay.
func (r *Roster) newsFor(e *entry) bool {
	told := e.acked == r.selfSeq && e.Version == r.self.Version
	same := !e.sync.running && e.sync.differs <= 0
	return !told || !same || e.State != wire.MemberAlive || e.accused.ID != "" || e.outdated
}

// gossiping says that changes of other members wait to be passed on.
func (r *Roster) gossiping() bool {
	for _, e := range r.entries {
		if e.sends > 0 {
			return true
		}
	}
	return false
}

// staleConfirm says that the configuration in force should be confirmed anew: an answer
// from any member may do that.
func (r *Roster) staleConfirm(l local) bool {
	age := time.Duration(l.confirmedMs) * time.Millisecond
	return l.version > 0 && (!l.confirmed || age > r.opts.beats(4*r.opts.pace()))
}
