package claimant

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// reportLogSize is how many sent reports are remembered. Older ones are of no use, since a
// grant whose TTL counts from them has expired.
const reportLogSize = 32

// reportLog remembers when the latest reports for one cell were sent, and to which keeper.
type reportLog struct {
	seq  uint64
	sent [reportLogSize]sentReport
}

type sentReport struct {
	seq uint64
	to  wire.RouterID
	at  time.Time
}

// next returns the number of a report that is sent now.
func (l *reportLog) next(to wire.RouterID, now time.Time) uint64 {
	l.seq++
	l.sent[l.seq%reportLogSize] = sentReport{seq: l.seq, to: to, at: now}
	return l.seq
}

// sentAt returns when report seq was sent to a keeper; false when it wasn't, or too long ago.
func (l *reportLog) sentAt(seq uint64, to wire.RouterID) (time.Time, bool) {
	s := l.sent[seq%reportLogSize]
	return s.at, seq != 0 && s.seq == seq && s.to == to
}
