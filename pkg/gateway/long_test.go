package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an upstream that breaks off long answers and is given work as if it were well.
func TestUpstreamsThatBreakLongAnswersAreLeftAlone(t *testing.T) {
	w := newWorld(t)
	w.upstreams(breaks("HTTP/1.1 200 OK\r\nX-Id: request-1\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*wholeLimit) + strings.Repeat("x", 2*wholeLimit)))
	resp, err := w.client.Do(w.request("/once/"))
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	_, usable := w.gateway.health.Usable(w.list[0].Life(), time.Now())
	require.False(t, usable)
}

// Guards against an upstream that is blamed for a caller that leaves in the middle of a long answer.
func TestACallerThatLeavesALongAnswerBlamesNobody(t *testing.T) {
	w := newWorld(t)
	gone := make(chan struct{})
	w.upstreams(func(rw http.ResponseWriter, r *http.Request) {
		defer close(gone)
		for range 1000 {
			if _, err := io.WriteString(rw, strings.Repeat("x", wholeLimit)); err != nil {
				return
			}
		}
	})
	resp, err := w.client.Do(w.request("/once/"))
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 2*wholeLimit))
	require.NoError(t, err)
	resp.Body.Close()
	<-gone
	require.Eventually(t, func() bool { return w.gateway.Active() == 0 }, 10*time.Second, time.Millisecond)
	_, usable := w.gateway.health.Usable(w.list[0].Life(), time.Now())
	require.True(t, usable)
}
