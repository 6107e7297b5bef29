package member

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/peer/devcert"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// realRouter is a duty on a real transport.
type realRouter struct {
	duty      *Duty
	transport *peer.Transport
	stop      func()
}

// startReal starts a router on 127.0.0.1. The wide limits keep a slow machine from
// changing a verdict.
func startReal(t testing.TB, ca *devcert.Authority, id wire.RouterID, seeds []string, heartbeat time.Duration) *realRouter {
	files, err := ca.Issue(t.TempDir(), string(id))
	require.NoError(t, err)
	self := wire.Member{ID: id, Zone: "z"}
	o := Options{Self: self, Start: time.Now(), Seeds: seeds, Heartbeat: heartbeat, SuspectAfter: 30 * time.Second, DeadAfter: time.Minute}
	var r realRouter
	// The duty's own record needs the bound address, which only the transport knows.
	late := new(lateResolver)
	r.transport, err = peer.New(peer.Options{
		ID: id, Listen: "127.0.0.1:0", Cert: files.Cert, Key: files.Key, CA: files.CA,
		Resolver: late, HandshakeTimeout: 10 * time.Second,
	}, late)
	require.NoError(t, err)
	o.Self.PeerAddr = r.transport.Addr()
	r.duty = NewDuty(Config{Options: o})
	r.duty.Attach(r.transport)
	late.set(r.duty)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.duty.Run(ctx) })
	r.stop = func() {
		cancel()
		wg.Wait()
		_ = r.transport.Close(ctx)
	}
	t.Cleanup(r.stop)
	return &r
}

// lateResolver stands for the duty until it is made.
type lateResolver struct {
	mu   sync.Mutex
	duty *Duty
}

func (l *lateResolver) set(d *Duty) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duty = d
}

func (l *lateResolver) get() *Duty {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duty
}

func (l *lateResolver) PeerAddr(id wire.RouterID) (string, bool) {
	if d := l.get(); d != nil {
		return d.PeerAddr(id)
	}
	return "", false
}

func (l *lateResolver) HandleFrame(from wire.RouterID, f *wire.Frame) {
	if d := l.get(); d != nil {
		d.HandleFrame(from, f)
	}
}

func TestRoutersMeetOverQUICAndOneRestarts(t *testing.T) {
	ca, err := devcert.NewAuthority("ca")
	require.NoError(t, err)
	const beat = 20 * time.Millisecond
	a := startReal(t, ca, "a", nil, beat)
	seeds := []string{a.transport.Addr()}
	b := startReal(t, ca, "b", seeds, beat)
	c := startReal(t, ca, "c", seeds, beat)
	for _, r := range []*realRouter{a, b, c} {
		awaitAlive(t, r.duty, 3, nil)
	}
	require.Equal(t, a.duty.View().Keeper("pool/0"), c.duty.View().Keeper("pool/0"))
	before, _ := a.duty.View().Member("b")
	b.stop()
	startReal(t, ca, "b", seeds, beat)
	changes, stop := a.duty.Subscribe()
	defer stop()
	for {
		after, _ := a.duty.View().Member("b")
		if Life(after.Incarnation) > Life(before.Incarnation) {
			return
		}
		<-changes
	}
}

// BenchmarkHeartbeatOnTheWire reports what one router of a full mesh sends for one of its
// heartbeats, on the wire with the headers of IP and UDP.
func BenchmarkHeartbeatOnTheWire(b *testing.B) {
	const routers = 8
	ca, err := devcert.NewAuthority("ca")
	require.NoError(b, err)
	const beat = 50 * time.Millisecond
	first := startReal(b, ca, "r00", nil, beat)
	fleet := []*realRouter{first}
	for i := 1; i < routers; i++ {
		fleet = append(fleet, startReal(b, ca, routerName(i), []string{first.transport.Addr()}, beat))
	}
	for _, r := range fleet {
		awaitAlive(b, r.duty, routers, nil)
	}
	ticks := time.NewTicker(beat)
	defer ticks.Stop()
	before := first.transport.Stats()
	for b.Loop() {
		<-ticks.C
	}
	after := first.transport.Stats()
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/float64(b.N), "sent-bytes/op")
	b.ReportMetric(float64(after.PacketsSent-before.PacketsSent)/float64(b.N), "sent-packets/op")
}

// BenchmarkRosterHeartbeat is one router's work for a heartbeat in a fleet of 330: a tick,
// and as many pings taken and answers taken as it sends.
func BenchmarkRosterHeartbeat(b *testing.B) {
	r := NewRoster(Options{Self: wire.Member{ID: "r00"}, Start: testStart})
	for i := range 330 {
		r.merge(testStart, "r01", []wire.Member{{ID: routerName(i), Incarnation: 1, PeerAddr: "10.0.0.1:7000"}})
	}
	for _, e := range r.entries {
		e.sends = 0
	}
	digest := r.digest()
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(DefaultHeartbeat)
		for _, o := range r.Tick(now, local{}) {
			if o.to == "" {
				continue
			}
			r.Pong(now, o.to, wire.Pong{Nonce: o.ping.Nonce, Digest: digest})
			r.Ping(now, local{}, o.to, wire.Ping{Nonce: 1, Digest: digest})
		}
	}
}
