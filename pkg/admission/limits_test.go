package admission

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// lastRequest is a request after whose response the connection is closed.
const lastRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// serveLimited serves callers on a listener whose connections are limited.
func serveLimited(t *testing.T, limits connlimit.Limits, heads int64) (*Listener, *connlimit.Group) {
	l := newTestListener(t, 0)
	g := connlimit.NewGroup(limits, buffers.NewBudget(heads))
	l.SetGroup(g)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	connlimit.Track(s)
	go func() { _ = s.Serve(l) }() // ends with the test
	t.Cleanup(func() { _ = s.Close() })
	return l, g
}

// Guards against a caller without an answer where all connections are taken by others that have just come.
func TestAConnectionBeyondTheLimitIsRefused(t *testing.T) {
	l, g := serveLimited(t, connlimit.Limits{Open: 1}, 0)
	sendTo(t, l, "GET / HTTP/1.1\r\n")
	require.Eventually(t, func() bool { return g.Open() == 1 }, callTimeout, pollInterval)
	require.Equal(t, http.StatusServiceUnavailable, statusOn(sendTo(t, l, lastRequest)))
	require.EqualValues(t, 1, shedCount(l))
}

// Guards against clients that return as often as they are closed, and leave no place for a request that has arrived.
func TestACompleteRequestIsAdmittedBesideUnfinishedOnes(t *testing.T) {
	l, g := serveLimited(t, connlimit.Limits{Open: 3, Unfinished: 1}, 0)
	require.Eventually(t, func() bool {
		sendTo(t, l, "GET / HTTP/1.1\r\n")
		return g.Open() == 1 && statusOn(sendTo(t, l, lastRequest)) == http.StatusNoContent
	}, callTimeout, pollInterval)
}

// Guards against a head for which there is no memory and that is parsed, or whose caller gets no answer.
func TestAHeadWithoutMemoryIsRefused(t *testing.T) {
	l, g := serveLimited(t, connlimit.Limits{}, 0)
	c := sendTo(t, l, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 500))
	require.Equal(t, http.StatusServiceUnavailable, statusOn(c))
	require.EqualValues(t, 1, g.Counts().Heads)
	require.Eventually(t, func() bool { return g.Open() == 0 }, callTimeout, pollInterval)
}

// Guards against a connection that has made room and stays open.
func TestAConnectionThatMakesRoomIsClosed(t *testing.T) {
	l, g := serveLimited(t, connlimit.Limits{Open: 1}, 0)
	first := sendTo(t, l, "GET / HTTP/1.1\r\n")
	require.Eventually(t, func() bool { return statusOn(sendTo(t, l, lastRequest)) == http.StatusNoContent }, callTimeout, pollInterval)
	answer, _ := io.ReadAll(first) // ends, in order or by a reset
	require.Empty(t, answer)
	require.EqualValues(t, 1, g.Counts().Unfinished)
}
