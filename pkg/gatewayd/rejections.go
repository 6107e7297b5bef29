package gatewayd

import (
	"math"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// rejections tells how many connections of callers were turned away unread. Their requests
// have no line of their own, as nobody read them.
type rejections struct {
	counts func() (refused, closed int64)
	// meanTime is the mean time that a rejection takes, coreShare the part of a core that the
	// process gets.
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
	}).Warn("connections were turned away for want of processor")
}
