package gatewayd

import (
	"math"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// rejections reports how many connections of callers were rejected unread. Their requests have no
// log lines of their own because they were not read.
type rejections struct {
	counts func() (refused, closed int64)
	// meanTime returns the mean time of a rejection, coreShare the part of a core that the process
	// gets.
	meanTime        func() time.Duration
	coreShare       func() float64
	refused, closed int64
	log             log.Interface
	counter         tally.Counter
}

func (t *rejections) report() {
	refused, closed := t.counts()
	newRefused, newClosed := refused-t.refused, closed-t.closed
	if newRefused+newClosed == 0 {
		return
	}
	t.refused, t.closed = refused, closed
	t.counter.Inc(newRefused + newClosed)
	t.log.WithFields(log.Fields{
		"event": "connections_turned_away", "refused": newRefused, "closed": newClosed,
		"each_us": t.meanTime().Microseconds(), "core_percent": int(math.Round(100 * t.coreShare())),
	}).Warn("connections were rejected for lack of CPU")
}
