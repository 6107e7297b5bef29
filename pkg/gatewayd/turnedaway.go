package gatewayd

import (
	"math"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// turnedAway tells how many connections of callers were turned away unread. Their requests
// have no line of their own, as nobody read them.
type turnedAway struct {
	count func() (refused, closed int64)
	// takes is the mean time that passes while one is turned away, share the part of a core that
	// the process gets.
	takes           func() time.Duration
	share           func() float64
	refused, closed int64
	log             log.Interface
	counter         tally.Counter
}

func (t *turnedAway) tell() {
	refused, closed := t.count()
	fresh, silent := refused-t.refused, closed-t.closed
	if fresh+silent == 0 {
		return
	}
	t.refused, t.closed = refused, closed
	t.counter.Inc(fresh + silent)
	t.log.WithFields(log.Fields{
		"event": "connections_turned_away", "refused": fresh, "closed": silent,
		"each_us": t.takes().Microseconds(), "core_percent": int(math.Round(100 * t.share())),
	}).Warn("connections were turned away for want of processor")
}
