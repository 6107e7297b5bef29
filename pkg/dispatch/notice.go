package dispatch

import (
	"net/http"
	"strconv"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// HeaderLeaving is set to leavingValue in the responses of an upstream that is about to terminate.
const (
	HeaderLeaving = "Flamingowind-Leaving"
	leavingValue  = "1"
)

// noticeOf returns what a response says about its upstream. Retry-After counts in whole seconds (RFC 9110, section
// 10.2.3); a date isn't read, as it is by the clock of another host.
func noticeOf(resp *http.Response) upstream.Notice {
	var n upstream.Notice
	switch values := resp.Header[HeaderLeaving]; {
	case len(values) == 1 && values[0] == leavingValue:
		n.Leaving = true
	case len(values) > 0:
		n.Fault = HeaderLeaving + " has another value than " + leavingValue
	}
	values := resp.Header["Retry-After"]
	if len(values) == 0 || resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return n
	}
	seconds, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil || len(values) > 1 {
		n.Fault = "Retry-After is no number of seconds"
		return n
	}
	n.Backoff = min(time.Duration(seconds)*time.Second, upstream.MaxBackoff)
	return n
}

// OnNotice makes f receive what responses say about their upstreams as soon as their heads are read. It must be
// called before the first call.
func (d *Dispatcher) OnNotice(f func(name string, n upstream.Notice)) { d.onNotice = f }

// observe passes on what a response says about its upstream.
func (d *Dispatcher) observe(name string, resp *http.Response) {
	if d.onNotice == nil {
		return
	}
	if n := noticeOf(resp); !n.Empty() {
		d.onNotice(name, n)
	}
}
