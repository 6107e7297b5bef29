package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that waited behind a network partition must not make an old list count as current
// when the partition heals.
func TestDelayedRequestIsDatedByItsEcho(t *testing.T) {
	a, b := newRouter(t, "a", []byte("secret")), newRouter(t, "b", []byte("secret"))
	report, _ := b.fleet.describeSelf(false)
	a.fleet.handleReport(&report, time.Now())
	req := a.fleet.request(a.fleet.peers[b.fleet.self.Peers], false)
	require.Equal(t, report.Clock, req.Echo)

	const waited = 10 * time.Second
	b.fleet.startedAt = b.fleet.startedAt.Add(-waited) // the same time after its report as if the request had waited
	require.NoError(t, a.exchanger.post(t.Context(), b.fleet.self.Peers, Path, req, new(Report), maxMessageBytes))
	require.GreaterOrEqual(t, time.Since(b.peerListAsOf), waited)

	received := b.fleet.startedAt.Add(time.Minute)
	require.Equal(t, b.fleet.startedAt.Add(time.Duration(report.Clock)*time.Millisecond), b.fleet.requestSentAfter(&req, received))
	req.AckLife++
	require.Zero(t, b.fleet.requestSentAfter(&req, received), "an echo from another life dates nothing")
	req.AckLife--
	req.Echo = time.Hour.Milliseconds()
	require.Zero(t, b.fleet.requestSentAfter(&req, received), "an echo from the future dates nothing")
}

// Clock values of a peer's earlier life must not be compared with those of a later one.
func TestClockValuesAreComparedWithinOneLife(t *testing.T) {
	a, b := newRouter(t, "a", []byte("secret")), newRouter(t, "b", []byte("secret"))
	old, _ := b.fleet.describeSelf(false)
	old.Clock = time.Hour.Milliseconds()
	a.fleet.handleReport(&old, time.Now())
	again, _ := b.fleet.describeSelf(false)
	again.From.Started++
	a.fleet.handleReport(&again, time.Now())
	require.Equal(t, again.Clock, a.fleet.request(a.fleet.peers[b.fleet.self.Peers], false).Echo)
}

// Two routers report to each other in turn that their lists of upstreams are current, and nobody
// reads the store any more. Each must consider the list older than the other says, by at least
// the transit time, or upstreams that have left would be used for ever.
func TestListsAgeOnTheirWay(t *testing.T) {
	a, b := newRouter(t, "a", secret), newRouter(t, "b", secret)
	// In the first millisecond of a router's life its clock shows 0, which nobody can echo.
	for _, r := range []*router{a, b} {
		r.fleet.startedAt = r.fleet.startedAt.Add(-time.Second)
	}
	a.fleet.AddMembers([]Member{b.fleet.self})
	a.exchanger.exchange(context.Background(), a.fleet.peers[b.fleet.self.Peers])
	require.False(t, a.peerListAsOf.IsZero())
	require.GreaterOrEqual(t, time.Since(a.peerListAsOf), listAge)
	require.True(t, b.peerListAsOf.IsZero(), "the first request echoes nothing")
	a.exchanger.exchange(context.Background(), a.fleet.peers[b.fleet.self.Peers])
	require.False(t, b.peerListAsOf.IsZero())
	require.GreaterOrEqual(t, time.Since(b.peerListAsOf), listAge+maxRequestDelay, "a request may have waited")
}
