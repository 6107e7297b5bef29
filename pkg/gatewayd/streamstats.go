package gatewayd

import (
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// streamLogInterval is the time between two log lines about records that are kept.
const streamLogInterval = 10 * time.Second

// streamStats counts the records of streams that are kept in the store.
type streamStats struct {
	kept, lost tally.Counter
	// records, rows and removed are since the last line, lostBefore is what was lost before it.
	records, rows, removed int
	lostBefore             int64
	loggedAt               time.Time
}

func newStreamStats(scope tally.Scope) streamStats {
	return streamStats{kept: scope.Counter("stream_records_kept"), lost: scope.Counter("stream_records_lost")}
}

// written counts what one call wrote.
func (s *streamStats) written(records, rows, removed int) {
	s.kept.Inc(int64(records))
	s.records, s.rows, s.removed = s.records+records, s.rows+rows, s.removed+removed
}

// note writes a line when there is something to say and the last one is old enough. waiting is the number of
// records that are about to be written, lost that of all that never were.
func (s *streamStats) note(l log.Interface, waiting int, lost int64, now time.Time) {
	if s.records+s.removed == 0 && lost == s.lostBefore || now.Sub(s.loggedAt) < streamLogInterval {
		return
	}
	s.lost.Inc(lost - s.lostBefore)
	l.WithFields(log.Fields{"event": "streams_kept", "records": s.records, "rows": s.rows, "removed": s.removed, "waiting": waiting, "lost": lost - s.lostBefore}).Info("records of streams are kept in the store")
	s.records, s.rows, s.removed, s.lostBefore, s.loggedAt = 0, 0, 0, lost, now
}
