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

// born gives in with another start.
func born(in *upstream.Instance, at int64) *upstream.Instance {
	next := *in
	next.Born, next.State = at, upstream.Ready
	return &next
}

func listOf(list ...*upstream.Instance) *upstream.Set {
	var all []upstream.Instance
	for _, in := range list {
		all = append(all, *in)
	}
	return upstream.NewSet(all)
}

// silentOnce leaves the first connection's request without an answer and serves the others.
func silentOnce(t *testing.T) (in *upstream.Instance, arrived chan struct{}) {
	arrived = make(chan struct{})
	return fakeUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(arrived)
		readRequest(r)
	}, echo), arrived
}

// attempt sends a request and gives the error that ends it.
func attempt(t *testing.T, ps *Pools, in *upstream.Instance) chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := do(t, ps, get(in, "one"))
		ended <- err
	}()
	return ended
}

// An engine's host is cut off, the engine dies and starts again under its ID. Its old
// connections were never closed, so a request on one of them hangs until its caller's time is
// over, though the list already tells of the new life. It must end then, as one that may have
// run, and requests go to the new life on connections of their own.
func TestAttemptsAtAnEndedLifeEndWithTheNewOne(t *testing.T) {
	in, arrived := silentOnce(t)
	first, second := born(in, 2000), born(in, 1000)
	ps := NewPools(idHeader)
	ps.Follow(listOf(first), time.Time{})
	ended := attempt(t, ps, first)
	<-arrived
	ps.Follow(listOf(second), time.Now())
	err := <-ended
	var f *Error
	require.True(t, errors.As(err, &f))
	require.True(t, f.Sent, "it may have run")
	a, err := do(t, ps, get(second, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
}

// The entry is gone for a while between the two lives. What was connected while the old life
// was still listed ends all the same.
func TestAttemptsAtAnEndedLifeEndAfterAGap(t *testing.T) {
	in, arrived := silentOnce(t)
	first, second := born(in, 1000), born(in, 2000)
	ps := NewPools(idHeader)
	ended := attempt(t, ps, first)
	<-arrived
	ps.Follow(listOf(), time.Now())
	ps.Follow(listOf(second), time.Now().Add(time.Minute))
	require.Error(t, <-ended)
}

// held answers its first request once release is closed.
func held(t *testing.T) (in *upstream.Instance, began, release chan struct{}) {
	began, release = make(chan struct{}), make(chan struct{})
	return fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(began)
		<-release
		io.WriteString(c, reply("one", "ok"))
		readRequest(r)
	}), began, release
}

// The list is late: a request is placed by the old entry, and reaches the new life already.
// Broken off with the old life's attempts, it would be lost for nothing.
func TestAttemptsThatReachTheNewLifeAreSpared(t *testing.T) {
	in, began, release := held(t)
	first, second := born(in, 1000), born(in, 2000)
	known := time.Now()
	ps := NewPools(idHeader)
	ended := attempt(t, ps, first)
	<-began
	ps.Follow(listOf(second), known)
	close(release)
	require.NoError(t, <-ended)
}

// A router that still goes by the old entry connects after the new list has come; the next
// news of the list must not break its request off.
func TestAttemptsByAnOldListAreSpared(t *testing.T) {
	in, began, release := held(t)
	first, second := born(in, 1000), born(in, 2000)
	ps := NewPools(idHeader)
	ps.Follow(listOf(second), time.Now())
	ended := attempt(t, ps, first)
	<-began
	ps.Follow(listOf(second), time.Now())
	close(release)
	require.NoError(t, <-ended)
}

// An engine that leaves is taken off the list and serves on; its requests are not broken off.
func TestAttemptsAtAnUnlistedEngineGoOn(t *testing.T) {
	in, began, release := held(t)
	first := born(in, 1000)
	ps := NewPools(idHeader)
	ended := attempt(t, ps, first)
	<-began
	ps.Follow(listOf(), time.Now())
	ps.sweep(listOf(), time.Now())
	close(release)
	require.NoError(t, <-ended)
}

// An entry that can't be used says nothing of the engine behind it, and may be mended with
// the same life: requests that run go on, and connections are kept again afterwards.
func TestUnusableEntryEndsNoAttempt(t *testing.T) {
	dials := 0
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) { dials++; echo(c, r) })
	first := born(in, 1000)
	ps := NewPools(idHeader)
	a, err := do(t, ps, get(first, "one"))
	require.NoError(t, err)
	ps.Follow(listOf(&upstream.Instance{ID: in.ID, State: upstream.Unusable}), time.Now())
	ps.Follow(listOf(first), time.Now())
	require.Equal(t, "ok", body(t, a))
	a, err = do(t, ps, get(first, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
	require.Equal(t, 1, dials)
}

// Idle connections to an ended life are not kept, and its pool is dropped once nothing uses it.
func TestPoolsOfEndedLivesAreDropped(t *testing.T) {
	in := fakeUpstream(t, echo)
	first, second := born(in, 1000), born(in, 2000)
	ps := NewPools(idHeader)
	a, err := do(t, ps, get(first, "one"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
	ps.Follow(listOf(second), time.Now())
	ps.sweep(listOf(second), time.Now())
	require.Empty(t, ps.pools)
	require.Empty(t, ps.unlisted)
}
