package clients_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// requireSoon tries until it succeeds; the test fails with what the last try saw once the time is over.
func requireSoon(t *testing.T, what string, within time.Duration, try func() (seen any, ok bool)) {
	t.Helper()
	for end := time.Now().Add(within); ; {
		seen, ok := try()
		if ok {
			return
		}
		if time.Now().After(end) || !waiting.For(t.Context(), tryEvery) {
			require.Failf(t, "not in time", "%s: %+v", what, seen)
		}
	}
}

// requireClosed requires that the process has hardly more descriptors open than before.
func requireClosed(t *testing.T, pid, before int) {
	t.Helper()
	requireSoon(t, "descriptors are closed", releasedIn, func() (any, bool) {
		open := descriptors(pid)
		return open, open <= before+spareDescriptors
	})
}

// statusOf is what a GET request on a connection of its own is answered with; 0 for no answer.
func statusOf(url string) int {
	caller := &http.Client{Timeout: callWait, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := caller.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
