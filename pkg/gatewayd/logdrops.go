package gatewayd

import (
	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// logDrops tells how many log lines were dropped as nobody read them. Without it a gap in
// the log looks like a quiet time.
type logDrops struct {
	count    func() int64
	reported int64
	log      log.Interface
	counter  tally.Counter
}

func (d *logDrops) report() {
	if d.count == nil {
		return
	}
	now := d.count()
	if now == d.reported {
		return
	}
	d.counter.Inc(now - d.reported)
	d.log.WithFields(log.Fields{"event": "lines_dropped", "lines": now - d.reported}).Warn("log lines were dropped")
	d.reported = now
}
