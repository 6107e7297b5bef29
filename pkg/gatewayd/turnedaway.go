package gatewayd

import (
	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// turnedAway tells how many connections of callers were turned away unread. Their requests
// have no line of their own, as nobody read them.
type turnedAway struct {
	count   func() int64
	told    int64
	log     log.Interface
	counter tally.Counter
}

func (t *turnedAway) tell() {
	now := t.count()
	if now == t.told {
		return
	}
	t.counter.Inc(now - t.told)
	t.log.WithFields(log.Fields{"event": "connections_turned_away", "connections": now - t.told}).Warn("connections were turned away for want of processor")
	t.told = now
}
