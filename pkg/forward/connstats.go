package forward

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// connEvent is why a connection to an upstream was opened, reused or closed.
type connEvent int

// Events of connections.
const (
	// openedFirst: this router had no connection to the upstream's life yet.
	openedFirst connEvent = iota
	// openedBusy: requests used all of the router's connections to it.
	openedBusy
	// openedNoneIdle: all earlier connections to it were closed.
	openedNoneIdle
	// openedProbe: to learn whether it accepts connections.
	openedProbe
	// openFailed: it could not be opened.
	openFailed
	// reusedIdle: an idle connection was used.
	reusedIdle
	// closedIdle: it was idle for longer than the upstream keeps it open.
	closedIdle
	// closedStale: just before use the upstream had closed it or sent bytes on it.
	closedStale
	// closedByUpstream: the response said so, or had no other end.
	closedByUpstream
	// closedAborted: the request was canceled.
	closedAborted
	// closedUnread: the response was not read to its end.
	closedUnread
	// closedUnsent: the response came before all of the request's body was sent.
	closedUnsent
	// closedError: sending or reading failed, or the response was malformed.
	closedError
	// closedList: the upstream's life is no longer listed.
	closedList
	// unanswered* and keptUnanswered*: a request was sent on a connection, new or kept, and the
	// connection was closed before the head of the response.
	unansweredAborted
	unansweredDeadline
	unansweredClosed
	unansweredSilence
	unansweredMalformed
	keptUnansweredAborted
	keptUnansweredDeadline
	keptUnansweredClosed
	keptUnansweredSilence
	keptUnansweredMalformed
	connEventCount
)

// connEventNames are the events and reasons as metrics and logs name them.
var connEventNames = [connEventCount]struct{ event, reason string }{
	openedFirst: {"opened", "first"}, openedBusy: {"opened", "all_busy"}, openedNoneIdle: {"opened", "none_idle"},
	openedProbe: {"opened", "probe"}, openFailed: {"failed", "connect"}, reusedIdle: {"reused", "idle"},
	closedIdle: {"closed", "idle_timeout"}, closedStale: {"closed", "stale"}, closedByUpstream: {"closed", "by_upstream"},
	closedAborted: {"closed", "aborted"}, closedUnread: {"closed", "unread"}, closedUnsent: {"closed", "unsent"},
	closedError: {"closed", "error"}, closedList: {"closed", "unlisted"},
	unansweredAborted: {"unanswered", "aborted"}, unansweredDeadline: {"unanswered", "deadline"}, unansweredClosed: {"unanswered", "closed"},
	unansweredSilence: {"unanswered", "silence"}, unansweredMalformed: {"unanswered", "malformed"},
	keptUnansweredAborted: {"kept_unanswered", "aborted"}, keptUnansweredDeadline: {"kept_unanswered", "deadline"}, keptUnansweredClosed: {"kept_unanswered", "closed"},
	keptUnansweredSilence: {"kept_unanswered", "silence"}, keptUnansweredMalformed: {"kept_unanswered", "malformed"},
}

// connStats counts events of connections.
type connStats struct {
	counts [connEventCount]atomic.Int64
}

func (s *connStats) add(e connEvent) { s.counts[e].Add(1) }

// unanswered returns the event for a request that was sent and whose connection is closed because of err
// before the head of its response.
func (r *Response) unanswered(err error) connEvent {
	kept := connEvent(0)
	if r.reused {
		kept = keptUnansweredAborted - unansweredAborted
	}
	switch {
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return kept + unansweredDeadline
	case r.ctx.Err() != nil, r.abort.isTriggered():
		return kept + unansweredAborted
	case errors.Is(err, io.EOF):
		return kept + unansweredClosed
	}
	switch endingOf(FramedByLength, err, false) {
	case EndedByAbort:
		return kept + unansweredAborted
	case EndedByReset, EndedEarly:
		return kept + unansweredClosed
	case EndedByTimeout:
		return kept + unansweredSilence
	}
	return kept + unansweredMalformed
}

// EachConnectionCount calls visit with the number of connections to upstreams by event and reason
// since the start.
func (ps *Pools) EachConnectionCount(visit func(event, reason string, n int64)) {
	for e, name := range connEventNames {
		visit(name.event, name.reason, ps.stats.counts[e].Load())
	}
}
