package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Kinds of notices, for metrics.
const (
	noticeLeaving    = "leaving"
	noticeBackoff    = "backoff"
	noticeUnreadable = "unreadable"
)

// countNotice counts a notice by its kinds.
func (g *Gateway) countNotice(in *upstream.Instance, n upstream.Notice) {
	for _, kind := range []struct {
		name string
		is   bool
	}{{noticeLeaving, n.Leaving}, {noticeBackoff, n.Backoff > 0}, {noticeUnreadable, n.Fault != ""}} {
		if kind.is {
			g.metrics.notices.count(in.Service, kind.name)
		}
	}
}

// observeNotice handles what the head of a response to a request for in says about its sender.
func (g *Gateway) observeNotice(in *upstream.Instance, n upstream.Notice) {
	g.countNotice(in, n)
	g.heedNotice(in, n, time.Now())
	if n.Fault == "" {
		return
	}
	if ok, left := g.noticeLog.allow(time.Now()); ok {
		g.log.WithFields(log.Fields{"event": "notice_unreadable", "instance": in.ID, "fault": n.Fault, "not_logged": left}).Warn("what a response says about its upstream can't be read")
	}
}

// heedNotice records what an upstream says about itself, for all requests that are still to be sent.
func (g *Gateway) heedNotice(in *upstream.Instance, n upstream.Notice, now time.Time) {
	life, known := g.senderOf(in, n)
	if !known {
		return
	}
	if n.Leaving {
		g.catalog.NoteDeparture(catalog.Departure{Life: life, At: now}, sourceResponse)
	}
	if n.Backoff > 0 && g.health.RequestBackoff(life, n.Backoff, now) {
		g.logBackoff(life, n.Backoff, now)
	}
}

// sourceResponse names an upstream's own response as the source of what is known of it.
const sourceResponse = "response"

// senderOf returns the life that a response to a request for in comes from. Another upstream may have taken over
// the address; what it says counts only if the list has it there.
func (g *Gateway) senderOf(in *upstream.Instance, n upstream.Notice) (upstream.Life, bool) {
	if n.Sender == in.ID || n.Sender == "" && !n.Misdirected {
		return in.Life(), true
	}
	sender := g.catalog.Instances().Get(n.Sender)
	if sender == nil || sender.Addr != in.Addr {
		return upstream.Life{}, false
	}
	return sender.Life(), true
}

// logBackoff writes a line about a backoff, limited as each response of a full upstream extends it.
func (g *Gateway) logBackoff(life upstream.Life, d time.Duration, now time.Time) {
	if ok, left := g.backoffLog.allow(now); ok {
		g.log.WithFields(log.Fields{"event": "instance_backoff", "instance": life.ID, "for_ms": d.Milliseconds(), "not_logged": left}).Info("instance wants no requests for a time")
	}
}
