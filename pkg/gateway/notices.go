package gateway

import (
	"time"

	"github.com/apex/log"

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
	if n.Fault == "" {
		return
	}
	if ok, left := g.noticeLog.allow(time.Now()); ok {
		g.log.WithFields(log.Fields{"event": "notice_unreadable", "instance": in.ID, "fault": n.Fault, "not_logged": left}).Warn("what a response says about its upstream can't be read")
	}
}
