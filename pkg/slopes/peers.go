package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// heartbeat is the default interval of the daemons.
const heartbeat = 500 * time.Millisecond

// perPeers names the size of the first experiment.
const perPeers = "peers of a node"

// Peers measures connections between a fixed set of transports, so that only the
// number of connections changes: node i is joined to its next d/2 nodes on a circle.
type Peers struct {
	Nodes   int
	Degrees []int
	Window  time.Duration
}

func (p Peers) run(ctx context.Context, dir string, r *Report) error {
	n, err := newNodes(dir)
	if err != nil {
		return err
	}
	defer n.close()
	for i := range p.Nodes {
		h := new(lateHandler)
		t, err := n.add(nodeName(i), 0, h)
		if err != nil {
			return err
		}
		h.set(answerer{t})
	}
	bare, err := resident()
	if err != nil {
		return err
	}
	for _, degree := range p.Degrees {
		if err := p.degree(ctx, n, degree, bare, r); err != nil {
			return err
		}
	}
	return nil
}

func (p Peers) degree(ctx context.Context, n *nodes, degree int, bare int64, r *Report) error {
	connect(ctx, n.all, degree)
	wait(ctx, p.Window/2)
	x := float64(degree)
	idle := over(ctx, p.Window, n.all...)
	used, err := resident()
	if err != nil {
		return err
	}
	nodes := float64(len(n.all))
	r.add("peers/memory", perPeers, "bytes a node", Point{x, float64(used-bare) / nodes})
	r.add("peers/idle-bytes-sent", perPeers, "bytes/s a node", Point{x, idle.perNode(bytesSent)})
	r.add("peers/idle-cpu", perPeers, "us/s a node", Point{x, micros(idle.cpu) / idle.seconds / nodes})
	beats, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { beat(beats, n.all, degree) })
	wait(ctx, heartbeat)
	live := over(ctx, p.Window, n.all...)
	stop()
	group.Wait()
	r.add("peers/heartbeat-bytes-sent", perPeers, "bytes/s a node", Point{x, live.perNode(bytesSent)})
	r.add("peers/heartbeat-bytes-received", perPeers, "bytes/s a node", Point{x, live.perNode(bytesReceived)})
	r.add("peers/heartbeat-packets-sent", perPeers, "packets/s a node", Point{x, live.perNode(packetsSent)})
	r.add("peers/heartbeat-cpu", perPeers, "us/s a node", Point{x, micros(live.cpu) / live.seconds / nodes})
	return ctx.Err()
}

// connect pings along all edges until each node has its connections.
func connect(ctx context.Context, all []*peer.Transport, degree int) {
	for ctx.Err() == nil {
		pingAll(all, degree)
		wait(ctx, heartbeat/2)
		joined := true
		for _, t := range all {
			joined = joined && t.Stats().Connections >= int64(degree)
		}
		if joined {
			return
		}
	}
}

// beat pings each edge from one end every heartbeat, as pkg/member settles it between
// two routers that watch each other.
func beat(ctx context.Context, all []*peer.Transport, degree int) {
	ticks := time.NewTicker(heartbeat)
	defer ticks.Stop()
	for ctx.Err() == nil {
		pingAll(all, degree)
		select {
		case <-ctx.Done():
		case <-ticks.C:
		}
	}
}

func pingAll(all []*peer.Transport, degree int) {
	for i, t := range all {
		for step := 1; step <= degree/2; step++ {
			t.Send(nodeName((i+step)%len(all)), func(f *wire.Frame) { f.Pings = append(f.Pings, samplePing()) })
		}
	}
}

// samplePing and samplePong are of the size of a quiet fleet's heartbeats.
func samplePing() wire.Ping {
	return wire.Ping{Nonce: 1 << 31, Version: 190_000, Digest: 1 << 63}
}

func samplePong(nonce uint64) wire.Pong {
	return wire.Pong{Nonce: nonce, Version: 190_000, ConfirmedMs: 1500, Confirmed: true, Digest: 1 << 63}
}

// answerer answers pings.
type answerer struct{ t *peer.Transport }

// HandleFrame implements peer.Handler.
func (a answerer) HandleFrame(from wire.RouterID, f *wire.Frame) {
	for _, p := range f.Pings {
		a.t.Send(from, func(out *wire.Frame) { out.Pongs = append(out.Pongs, samplePong(p.Nonce)) })
	}
}

func nodeName(i int) wire.RouterID { return wire.RouterID(fmt.Sprintf("router-%03d", i)) }

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
