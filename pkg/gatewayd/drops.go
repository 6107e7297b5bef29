package gatewayd

import (
	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// drops tells how many log lines were dropped as nobody read them. Without it a gap in
// the log looks like a quiet time.
type drops struct {
	count   func() int64
	told    int64
	log     log.Interface
	counter tally.Counter
}

func (d *drops) tell() {
	if d.count == nil {
		return
	}
	now := d.count()
	if now == d.told {
		return
	}
	d.counter.Inc(now - d.told)
	d.log.WithFields(log.Fields{"event": "lines_dropped", "lines": now - d.told}).Warn("log lines were dropped")
	d.told = now
}
