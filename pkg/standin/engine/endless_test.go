package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a fault that a test switches on and that shows nothing.
func TestEndlessAnswersDontEnd(t *testing.T) {
	const most = 256 << 10
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: most}}
	defer client.CloseIdleConnections()
	for _, part := range []string{endlessHead, endlessBody, endlessEvents} {
		t.Run(part, func(t *testing.T) {
			e := New(Options{})
			s := httptest.NewServer(e.Handler())
			defer s.Close()
			e.SetFaults(Faults{Endless: part})
			resp, err := client.Post(s.URL+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"p"}`))
			if part == endlessHead {
				require.ErrorContains(t, err, "headers exceeded")
				return
			}
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.CopyN(io.Discard, resp.Body, most)
			require.NoError(t, err)
		})
	}
}
