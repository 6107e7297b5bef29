package forward

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// withStart returns a ready copy of in with another start time.
func withStart(in *upstream.Instance, at int64) *upstream.Instance {
	next := *in
	next.Born, next.State = at, upstream.Ready
	return &next
}

func newSet(list ...*upstream.Instance) *upstream.Set {
	var all []upstream.Instance
	for _, in := range list {
		all = append(all, *in)
	}
	return upstream.NewSet(all)
}

// silentOnce leaves the first connection's request unanswered and serves the others.
func silentOnce(t *testing.T) (in *upstream.Instance, arrived chan struct{}) {
	arrived = make(chan struct{})
	return fakeUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(arrived)
		readRequest(r)
	}, echo), arrived
}

// startAttempt sends a request and returns the channel that receives the error that ends it.
func startAttempt(t *testing.T, ps *Pools, in *upstream.Instance) chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := do(t, ps, get(in, "one"))
		ended <- err
	}()
	return ended
}

// An engine's host is disconnected, and the engine crashes and restarts under its ID. Its old
// connections were never closed, so a request on one of them hangs until its deadline, though the
// list already shows the new life. It must end when the list arrives, as one that may have run, and
// further requests must go to the new life on new connections.
func TestAttemptsAtAnEndedLifeEndWithTheNewOne(t *testing.T) {
	in, arrived := silentOnce(t)
	first, second := withStart(in, 2000), withStart(in, 1000)
	ps := NewPools(idHeader)
	ps.UpdateList(newSet(first), time.Time{})
	ended := startAttempt(t, ps, first)
	<-arrived
	ps.UpdateList(newSet(second), time.Now())
	err := <-ended
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent, "the request may have run")
	resp, err := do(t, ps, get(second, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
}

// The entry is missing for a while between the two lives. Requests that were connected while the
// old life was listed must end too.
func TestAttemptsAtAnEndedLifeEndAfterAGap(t *testing.T) {
	in, arrived := silentOnce(t)
	first, second := withStart(in, 1000), withStart(in, 2000)
	ps := NewPools(idHeader)
	ended := startAttempt(t, ps, first)
	<-arrived
	ps.UpdateList(newSet(), time.Now())
	ps.UpdateList(newSet(second), time.Now().Add(time.Minute))
	require.Error(t, <-ended)
}

// serveOnRelease responds to its first request after release is closed.
func serveOnRelease(t *testing.T) (in *upstream.Instance, began, release chan struct{}) {
	began, release = make(chan struct{}), make(chan struct{})
	return fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(began)
		<-release
		io.WriteString(c, responseText("one", "ok"))
		readRequest(r)
	}), began, release
}

// The list lags behind: a request is placed by the old entry but already reaches the new life. It
// must not be aborted with the requests to the old life.
func TestAttemptsThatReachTheNewLifeAreSpared(t *testing.T) {
	in, began, release := serveOnRelease(t)
	first, second := withStart(in, 1000), withStart(in, 2000)
	known := time.Now()
	ps := NewPools(idHeader)
	ended := startAttempt(t, ps, first)
	<-began
	ps.UpdateList(newSet(second), known)
	close(release)
	require.NoError(t, <-ended)
}

// A request that was placed by the old entry connects after the new list has arrived. The next list
// must not abort it.
func TestAttemptsByAnOldListAreSpared(t *testing.T) {
	in, began, release := serveOnRelease(t)
	first, second := withStart(in, 1000), withStart(in, 2000)
	ps := NewPools(idHeader)
	ps.UpdateList(newSet(second), time.Now())
	ended := startAttempt(t, ps, first)
	<-began
	ps.UpdateList(newSet(second), time.Now())
	close(release)
	require.NoError(t, <-ended)
}

// An engine that drains is removed from the list and continues to serve. Its requests must not be
// aborted.
func TestAttemptsAtAnUnlistedEngineGoOn(t *testing.T) {
	in, began, release := serveOnRelease(t)
	first := withStart(in, 1000)
	ps := NewPools(idHeader)
	ended := startAttempt(t, ps, first)
	<-began
	ps.UpdateList(newSet(), time.Now())
	ps.sweep(newSet(), time.Now())
	close(release)
	require.NoError(t, <-ended)
}

// An unusable entry says nothing about the engine behind it and may be corrected within the same
// life. Running requests must continue, and connections must be reused afterwards.
func TestUnusableEntryEndsNoAttempt(t *testing.T) {
	dials := 0
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) { dials++; echo(c, r) })
	first := withStart(in, 1000)
	ps := NewPools(idHeader)
	resp, err := do(t, ps, get(first, "one"))
	require.NoError(t, err)
	ps.UpdateList(newSet(&upstream.Instance{ID: in.ID, State: upstream.Unusable}), time.Now())
	ps.UpdateList(newSet(first), time.Now())
	require.Equal(t, "ok", body(t, resp))
	resp, err = do(t, ps, get(first, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
	require.Equal(t, 1, dials)
}

// Idle connections to an ended life must be closed, and its pool dropped once it is empty.
func TestPoolsOfEndedLivesAreDropped(t *testing.T) {
	in := fakeUpstream(t, echo)
	first, second := withStart(in, 1000), withStart(in, 2000)
	ps := NewPools(idHeader)
	resp, err := do(t, ps, get(first, "one"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
	ps.UpdateList(newSet(second), time.Now())
	ps.sweep(newSet(second), time.Now())
	require.Empty(t, ps.pools)
	require.Empty(t, ps.listedUntil)
}
