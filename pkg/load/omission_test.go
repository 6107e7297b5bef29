package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// stalledFleet answers nothing until its stall is over, then everything at once.
type stalledFleet struct{ over <-chan struct{} }

func (s stalledFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	<-s.over
	var body completion
	if err := readJSON(r.Body, &body); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(eventsOf(body.Marker, body.Tokens)))}, nil
}

// eventsOf is a whole stream.
func eventsOf(marker string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		fmt.Fprintf(&b, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", n, tokenText(marker, n))
	}
	fmt.Fprintf(&b, "id: %d\ndata: {\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\n", tokens, tokens)
	fmt.Fprintf(&b, "id: %d\ndata: [DONE]\n\n", tokens+1)
	return b.String()
}

// The fleet stalls for two seconds while an organisation sends a thousand requests a
// second. Only 512 can be in flight, so the others are sent after the stall and are
// answered at once. Timed from their sending they would look instant and hide the
// stall; their callers waited, so each time must count from the intended start.
func TestTimesCountFromTheIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall = 2 * time.Second
		over := make(chan struct{})
		start := time.Now()
		time.AfterFunc(stall, func() { close(over) })
		s := Scenario{
			Seed: 7, Duration: 3 * time.Second, Routers: 1,
			Profiles: []Profile{{Org: "org-01", Weight: 1, Routers: []int{0}, Rate: 1000, Lengths: tutorLengths}},
		}
		caller := NewCaller("m", "s", time.Minute)
		caller.client.Transport = stalledFleet{over}
		r := &runner{scenario: s, caller: caller, entries: []string{"127.0.0.1:1"}, maxOpen: 512, start: start}
		r.sendAll(context.Background(), context.Background(), []devfleet.OrgInfo{{Name: "org-01"}})

		held := 0
		for _, res := range r.results {
			require.Equal(t, Whole, res.Outcome, res.Fault)
			want := max(0, start.Add(stall).Sub(res.Intended))
			require.Equal(t, want, res.FirstToken())
			if res.Sent.After(res.Intended) {
				held++
			}
		}
		require.Greater(t, held, 1000, "the stall has to hold senders back, or the test shows nothing")
		p99 := timesOf(firstTokens(r.results, func(Result) bool { return true })).P99
		require.InDelta(t, stall.Seconds()*1000, p99, 50)
	})
}
