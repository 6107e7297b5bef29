package connlimit

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// fakeConn remembers which of its directions were ended.
type fakeConn struct{ readEnded, writeEnded bool }

func (c *fakeConn) SetReadDeadline(t time.Time) error  { c.readEnded = t.Equal(past); return nil }
func (c *fakeConn) SetWriteDeadline(t time.Time) error { c.writeEnded = t.Equal(past); return nil }

// clock is a clock that a test moves.
type clock struct{ at time.Time }

func newTestGroup(l Limits, heads int64) (*Group, *clock) {
	c := &clock{at: time.Unix(1_000_000, 0)}
	g := NewGroup(l, buffers.NewBudget(heads))
	g.now = func() time.Time { return c.at }
	return g, c
}

func admit(t *testing.T, g *Group) (*Entry, *fakeConn) {
	c := new(fakeConn)
	e, ok := g.Admit(c)
	require.True(t, ok)
	return e, c
}

// Guards against clients that keep all connections by never finishing a request.
func TestANewConnectionTakesThePlaceOfTheOldestUnfinishedOne(t *testing.T) {
	g, now := newTestGroup(Limits{Open: 2}, 0)
	_, first := admit(t, g)
	now.at = now.at.Add(time.Millisecond)
	_, second := admit(t, g)
	_, ok := g.Admit(new(fakeConn))
	require.False(t, ok, "no connection is old enough to make room")
	now.at = now.at.Add(patience - time.Millisecond)
	admit(t, g)
	require.True(t, first.readEnded)
	require.False(t, second.readEnded)
	require.Equal(t, 2, g.Open())
	require.EqualValues(t, 1, g.Counts().Unfinished)
}

// Guards against unfinished requests that leave no room for those that are served.
func TestUnfinishedRequestsHaveALimitOfTheirOwn(t *testing.T) {
	g, now := newTestGroup(Limits{Open: 10, Unfinished: 2}, 0)
	served, _ := admit(t, g)
	served.RequestRead()
	_, first := admit(t, g)
	admit(t, g)
	now.at = now.at.Add(patience)
	admit(t, g)
	require.True(t, first.readEnded)
}

// Guards against complete requests that are refused because clients with unfinished ones have taken their places.
func TestCompleteRequestsNeedNoPlaceOfUnfinishedOnes(t *testing.T) {
	g, now := newTestGroup(Limits{Open: 3, Unfinished: 1}, 0)
	admit(t, g)
	_, ok := g.Admit(new(fakeConn))
	require.False(t, ok)
	c := new(fakeConn)
	e, ok := g.AdmitComplete(c)
	require.True(t, ok)
	_, ok = g.AdmitComplete(new(fakeConn))
	require.True(t, ok)
	_, ok = g.AdmitComplete(new(fakeConn))
	require.False(t, ok)
	now.at = now.at.Add(time.Hour)
	admit(t, g)
	require.False(t, c.readEnded, "it is served")
	require.True(t, e.Received([]byte("GET / HTTP/1.1\r\n")))
	e.observe(http.StateClosed)
	require.Equal(t, 2, g.Open())
}

// Guards against accepted requests that are cut to make room for others.
func TestConnectionsThatAreServedAreNotClosedForOthers(t *testing.T) {
	g, now := newTestGroup(Limits{Open: 1}, 0)
	e, c := admit(t, g)
	e.RequestRead()
	now.at = now.at.Add(time.Hour)
	_, ok := g.Admit(new(fakeConn))
	require.False(t, ok)
	require.False(t, c.readEnded)

	e.observe(http.StateIdle)
	now.at = now.at.Add(patience)
	admit(t, g)
	require.True(t, c.readEnded, "an idle connection makes room")
	require.EqualValues(t, 1, g.Counts().Idle)
}

// Guards against connections that are counted after they have ended, or counted out twice.
func TestConnectionsAreCountedUntilTheyEnd(t *testing.T) {
	g, now := newTestGroup(Limits{Open: 2}, 0)
	closed, _ := admit(t, g)
	admit(t, g)
	now.at = now.at.Add(patience)
	admit(t, g)
	require.True(t, closed.Closing())
	closed.observe(http.StateClosed)
	closed.RequestRead()
	require.Equal(t, 2, g.Open())
}

// Guards against heads of many short lines, which take many times their bytes, in an account of bytes.
func TestHeadsTakeMemoryByTheirLines(t *testing.T) {
	const limit = 1 << 20
	g, _ := newTestGroup(Limits{}, limit)
	short, _ := admit(t, g)
	require.True(t, short.Received([]byte(strings.Repeat("a:\r\n", 2_000))))
	require.Greater(t, g.heads.Used(), int64(2_000*lineCost))
	long, _ := admit(t, g)
	require.True(t, long.Received([]byte(strings.Repeat("a", 8_000))))
	refused, _ := admit(t, g)
	require.False(t, refused.Received([]byte(strings.Repeat("a:\r\n", 4_000))))
	usual, _ := admit(t, g)
	require.True(t, usual.Received([]byte(strings.Repeat("Name: some text\r\n", 12))), "usual heads need no memory of the account")
	for _, e := range []*Entry{short, long, refused, usual} {
		e.observe(http.StateClosed)
	}
	require.Zero(t, g.heads.Used())
}

// Guards against bodies that are counted as heads, and against heads of later requests on a connection that aren't counted.
func TestHeadsAreCountedRequestByRequest(t *testing.T) {
	g, _ := newTestGroup(Limits{}, 1<<20)
	e, _ := admit(t, g)
	text := []byte(strings.Repeat("a:\r\n", 1_000))
	for range 3 {
		require.True(t, e.Received(text))
		held := g.heads.Used()
		require.Positive(t, held)
		require.EqualValues(t, len(text), e.headBytes)
		e.observe(http.StateActive)
		require.True(t, e.Received(text))
		require.Equal(t, held, g.heads.Used(), "a body is no head")
		e.RequestRead()
		e.observe(http.StateIdle)
		require.Zero(t, g.heads.Used())
	}
}

// Guards against bodies that stop arriving and keep the memory for bodies from others.
func TestABodyThatStallsMakesRoom(t *testing.T) {
	g, now := newTestGroup(Limits{}, 0)
	small, smallConn := admit(t, g)
	moving, movingConn := admit(t, g)
	stalled, stalledConn := admit(t, g)
	for _, e := range []*Entry{small, moving, stalled} {
		e.observe(http.StateActive)
	}
	moving.HoldBody()
	stalled.HoldBody()
	now.at = now.at.Add(patience)
	moving.Received([]byte("x"))
	small.RefuseBody()
	require.True(t, stalledConn.readEnded)
	require.False(t, movingConn.readEnded)
	require.False(t, smallConn.readEnded, "it holds nothing that others need")
}

// Guards against callers that read nothing and keep what is written to them for good.
func TestWritesThatStallAreEnded(t *testing.T) {
	const interval = 2 * time.Second
	g, _ := newTestGroup(Limits{}, 0)
	stalls, stallsConn := admit(t, g)
	reads, readsConn := admit(t, g)
	stalls.RequestRead()
	reads.RequestRead()
	stalls.BeginWrite()
	for range int(maxWriteStall/interval) + 2 {
		reads.BeginWrite()
		g.Sweep(interval)
		reads.EndWrite()
	}
	require.True(t, stallsConn.writeEnded)
	require.False(t, readsConn.writeEnded)
	require.EqualValues(t, 1, g.Counts().Stalled)
}

// Guards against a lower limit that applies to later connections only.
func TestLowerLimitsApplyToOpenConnections(t *testing.T) {
	g, now := newTestGroup(Limits{Open: 4}, 0)
	for range 4 {
		admit(t, g)
	}
	now.at = now.at.Add(patience)
	g.SetLimits(Limits{Open: 2})
	require.Equal(t, 1, g.Open(), "there is room for another one")
}
