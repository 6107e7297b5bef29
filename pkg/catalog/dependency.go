package catalog

import (
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// dependency logs once when a service that this router depends on is lost, and once when it is
// back.
type dependency struct {
	name  string
	log   log.Interface
	since time.Time
	lost  bool
}

func newDependency(name string, l log.Interface) *dependency {
	return &dependency{name: name, log: l, since: time.Now()}
}

// observe records the result of a call that began at startedAt.
func (d *dependency) observe(err error, startedAt time.Time) {
	if errors.Is(err, ErrHistoryGone) {
		d.log.WithFields(log.Fields{"event": "history_gone", "dependency": d.name}).Info("history is gone, reading the complete state")
		return
	}
	lost := err != nil
	if lost == d.lost {
		return
	}
	now := time.Now()
	fields := log.Fields{"dependency": d.name, "after_ms": now.Sub(d.since).Milliseconds()}
	d.lost, d.since = lost, now
	if lost {
		fields["event"] = "dependency_lost"
		fields["waited_ms"] = now.Sub(startedAt).Milliseconds()
		d.log.WithFields(fields).WithError(err).Warn("dependency lost")
		return
	}
	fields["event"] = "dependency_regained"
	d.log.WithFields(fields).Info("dependency regained")
}
