package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against upstreams that leave, or want no requests, and are sent more because only the platform is asked.
func TestNoticesOfUpstreamsArePassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		status         int
		leaving, after string
		want           *upstream.Notice
	}{
		"nothing":               {200, "", "", nil},
		"leaving":               {200, "1", "", &upstream.Notice{Leaving: true}},
		"leaving, with a 500":   {500, "1", "", &upstream.Notice{Leaving: true}},
		"another value":         {200, "yes", "", &upstream.Notice{Fault: "Flamingowind-Leaving has another value than 1"}},
		"backoff":               {503, "", "3", &upstream.Notice{Backoff: 3 * time.Second}},
		"backoff, with a 429":   {429, "", "1", &upstream.Notice{Backoff: time.Second}},
		"bounded backoff":       {503, "", "4000000000", &upstream.Notice{Backoff: upstream.MaxBackoff}},
		"no seconds":            {503, "", "-3", &upstream.Notice{Fault: "Retry-After is no number of seconds"}},
		"with another status":   {500, "", "3", nil},
		"zero":                  {503, "", "0", nil},
		"date":                  {503, "", "Fri, 04 Dec 2026 18:00:00 GMT", &upstream.Notice{Fault: "Retry-After is no number of seconds"}},
		"leaving and a backoff": {503, "1", "2", &upstream.Notice{Leaving: true, Backoff: 2 * time.Second}},
	} {
		up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			if c.leaving != "" {
				w.Header().Set(HeaderLeaving, c.leaving)
			}
			if c.after != "" {
				w.Header().Set("Retry-After", c.after)
			}
			w.WriteHeader(c.status)
		})
		d := New(DefaultLimits())
		t.Cleanup(d.Close)
		var got *upstream.Notice
		d.OnNotice(func(of string, n upstream.Notice) {
			checkEqual(t, "upstream", "u1", of)
			got = &n
		})
		var slot sched.Slot = &fakeSlot{url: up.URL}
		d.Do(t.Context(), slot, &Call{Method: http.MethodPost}, &fakeSink{})
		checkEqual(t, name, c.want, got)
	}
}
