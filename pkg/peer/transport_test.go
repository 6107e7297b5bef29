package peer

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// await polls until cond holds; the limit is that of the whole test run.
func await(cond func() bool) {
	ticks := time.NewTicker(time.Millisecond)
	defer ticks.Stop()
	for !cond() {
		<-ticks.C
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestFramesCarryVerifiedSender(t *testing.T) {
	f := newFleet(t)
	a, inA := f.router("a")
	b, inB := f.router("b")
	a.Send("b", ping(1))
	nonces, from := inB.nonces(1)
	require.Equal(t, []uint64{1}, nonces)
	require.Equal(t, wire.RouterID("a"), from)
	b.Send("a", ping(2))
	nonces, from = inA.nonces(1)
	require.Equal(t, []uint64{2}, nonces)
	require.Equal(t, wire.RouterID("b"), from)
	require.Zero(t, b.Stats().Dials, "the answer goes back on the same connection")
}

func TestMessagesForOnePeerShareAFrame(t *testing.T) {
	f := newFleet(t)
	a, _ := f.router("a")
	_, inB := f.router("b")
	for n := range uint64(100) {
		a.Send("b", ping(n))
	}
	nonces, _ := inB.nonces(100)
	for n := range uint64(100) {
		require.Equal(t, n, nonces[n])
	}
	require.Less(t, a.Stats().FramesSent, uint64(20))
}

func TestSeedOfUnknownRouterAndOwnAddress(t *testing.T) {
	f := newFleet(t)
	a, _ := f.router("a")
	b, inB := f.router("b")
	f.book.addrs = map[wire.RouterID]string{}
	a.SendAddr(a.Addr(), ping(1))
	a.SendAddr(b.Addr(), ping(2))
	nonces, from := inB.nonces(1)
	require.Equal(t, []uint64{2}, nonces)
	require.Equal(t, wire.RouterID("a"), from)
}

func TestLocalHandOver(t *testing.T) {
	f := newFleet(t)
	a, inA := f.router("a")
	a.Send("a", ping(7))
	nonces, from := inA.nonces(1)
	require.Equal(t, []uint64{7}, nonces)
	require.Equal(t, wire.RouterID("a"), from)
	require.Zero(t, a.Stats().BytesSent)
}

// A router's messages arrive twice, or its peers each close what the other one uses.
// Both have just started and dial each other in the same moment, so two connections
// stand between them; they must settle on one and lose nothing on the way.
func TestSimultaneousConnectsSettle(t *testing.T) {
	f := newFleet(t)
	a, inA := f.router("a")
	b, inB := f.router("b")
	start := make(chan struct{})
	for n := range uint64(20) {
		go func() { <-start; a.Send("b", ping(n)) }()
		go func() { <-start; b.Send("a", ping(n)) }()
	}
	close(start)
	inA.nonces(20)
	inB.nonces(20)
	// The connection in use is the same at both ends once either has retired the other.
	await(func() bool { return a.Stats().Connections == 1 && b.Stats().Connections == 1 })
	a.Send("b", ping(100))
	inB.nonces(1)
	b.Send("a", ping(101))
	inA.nonces(1)
}

// A captain's request waits for a keeper that isn't there any more. A peer has died and
// come back as a new process under the same ID and address, while this router still
// holds the connection to the old one. Messages must reach the new process.
func TestRestartedPeerIsReached(t *testing.T) {
	f := newFleet(t)
	a, inA := f.router("a")
	options := f.options("b")
	b, inB := f.start(options)
	a.Send("b", ping(1))
	inB.nonces(1)
	options.Listen = b.Addr()
	closeNow(b)
	again, inAgain := f.start(options)
	again.Send("a", ping(2))
	inA.nonces(1)
	a.Send("b", ping(3))
	nonces, _ := inAgain.nonces(1)
	require.Equal(t, []uint64{3}, nonces)
}

// Someone runs a router with a certificate of another authority, or under another
// router's ID. Its frames must not come through, and nothing may be sent to it.
func TestStrangersAreRefused(t *testing.T) {
	f := newFleet(t)
	a, inA := f.router("a")
	stranger := newAuthority(t, "stranger")
	o := f.optionsOf(stranger, "b", f.ca)
	b, inB := f.start(o)
	_, inC := f.router("c")
	b.Send("a", ping(1))
	a.Send("b", ping(2))
	f.book.set("d", b.Addr())
	a.Send("d", ping(3))
	a.Send("c", ping(4))
	inC.nonces(1)
	await(func() bool { return a.Stats().DialsFailed >= 2 && a.Stats().Refused >= 1 })
	require.Empty(t, inA)
	require.Empty(t, inB)
}

// One router hangs: stopped by its host, it reads nothing, and its window is full.
// Messages for all other routers must still go out, and the queue for it stays bounded.
func TestPausedPeerDoesNotBlockOthers(t *testing.T) {
	f := newFleet(t)
	o := f.options("a")
	o.MaxQueued = 8
	a, _ := f.start(o)
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	paused, err := New(f.options("p"), handlerFunc(func(wire.RouterID, *wire.Frame) {
		select {
		case entered <- struct{}{}:
		default:
		}
		<-release
	}))
	require.NoError(t, err)
	t.Cleanup(func() { close(release); closeNow(paused) })
	f.book.set("p", paused.Addr())
	_, inB := f.router("b")
	big := make([]byte, 256<<10)
	blob := func(fr *wire.Frame) { fr.Configs = append(fr.Configs, wire.ConfigData{Data: big}) }
	a.Send("p", blob)
	<-entered
	for a.Stats().Dropped == 0 {
		a.Send("p", blob)
	}
	a.Send("b", ping(1))
	inB.nonces(1)
}

type handlerFunc func(wire.RouterID, *wire.Frame)

func (h handlerFunc) HandleFrame(from wire.RouterID, f *wire.Frame) { h(from, f) }

// An authority is replaced. Routers get the new certificates one by one, and for a while
// the fleet has both. Nobody is cut off meanwhile; when the old authority goes, whoever
// still shows its certificate is.
func TestAuthorityRotation(t *testing.T) {
	f := newFleet(t)
	next := newAuthority(t, "next")
	oldA := f.options("a")
	require.NoError(t, os.WriteFile(oldA.CA, append(next.PEM, f.ca.PEM...), 0o600))
	a, inA := f.start(oldA)
	b, _ := f.start(f.optionsOf(next, "b", f.ca))
	c, _ := f.router("c")
	b.Send("a", ping(1))
	inA.nonces(1)
	c.Send("a", ping(2))
	inA.nonces(1)
	require.NoError(t, os.WriteFile(oldA.CA, next.PEM, 0o600))
	require.True(t, a.keys.reload())
	a.recheck()
	await(func() bool { return a.Stats().Connections == 1 })
	b.Send("a", ping(3))
	nonces, from := inA.nonces(1)
	require.Equal(t, []uint64{3}, nonces)
	require.Equal(t, wire.RouterID("b"), from)
}

// The files of the credentials are replaced one after the other, and a reading falls
// between two of them. The old credentials must stay in use.
func TestHalfReplacedCredentialsAreNotTaken(t *testing.T) {
	f := newFleet(t)
	o := f.options("a")
	a, _ := f.start(o)
	require.NoError(t, os.WriteFile(o.Key, []byte("half a file"), 0o600))
	require.False(t, a.keys.reload())
	b, inB := f.router("b")
	a.Send("b", ping(1))
	inB.nonces(1)
	require.NotZero(t, b.Stats().FramesReceived)
}

// A leaving router hands its cells over and exits at once. Its last messages are still
// in its queue; they must arrive.
func TestCloseDeliversTheQueue(t *testing.T) {
	f := newFleet(t)
	o := f.options("a")
	o.Coalesce = 50 * time.Millisecond
	a, _ := f.start(o)
	_, inB := f.router("b")
	a.Send("b", ping(1))
	inB.nonces(1)
	a.Send("b", ping(2))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, a.Close(ctx))
	nonces, _ := inB.nonces(1)
	require.Equal(t, []uint64{2}, nonces)
	a.Send("b", ping(3))
	require.Equal(t, uint64(1), a.Stats().Undelivered)
}

// A fleet of hundreds: a router once talks to each other one, and every connection
// would stay. The bound of peers holds, and a peer that was cut off is reached again.
func TestPeersAreBounded(t *testing.T) {
	f := newFleet(t)
	o := f.options("a")
	o.MaxPeers = 2
	a, _ := f.start(o)
	var inboxes []inbox
	for n := range 5 {
		_, in := f.router(wire.RouterID(fmt.Sprint("b", n)))
		inboxes = append(inboxes, in)
	}
	for round := range uint64(2) {
		for n, in := range inboxes {
			a.Send(wire.RouterID(fmt.Sprint("b", n)), ping(round))
			in.nonces(1)
		}
	}
	await(func() bool { return a.Stats().Connections <= 2 })
}
