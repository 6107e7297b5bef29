package peer

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// twentyClaims is a frame as a busy router sends it to a keeper.
func twentyClaims() *wire.Frame {
	f := new(wire.Frame)
	for n := range 20 {
		f.Claims = append(f.Claims, wire.Claim{
			ID: wire.ClaimID(1_000_000 + n), Cell: "tutor-malay/0", Org: fmt.Sprintf("course-%02d", n%16),
			Class: wire.ClassNormal, Prefix: 0x9e3779b97f4a7c15, Content: 0xbf58476d1ce4e5b9, WaitMs: 20_000,
		})
	}
	return f
}

func BenchmarkEncodeTwentyClaims(b *testing.B) {
	f := twentyClaims()
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		out, err := wire.Encode(f)
		require.NoError(b, err)
		size = len(out)
	}
	b.ReportMetric(float64(size), "frame-bytes")
}

func BenchmarkDecodeTwentyClaims(b *testing.B) {
	data, err := wire.Encode(twentyClaims())
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := wire.Decode(data)
		require.NoError(b, err)
	}
}

// BenchmarkQuestionAndAnswer sends one small message and waits for the answer, which is
// what an idle fleet's heartbeat does. Bytes and packets are those of both directions.
func BenchmarkQuestionAndAnswer(b *testing.B) {
	f := newFleet(b)
	options := f.options("a")
	options.Coalesce = 0
	x, inX := f.start(options)
	options = f.options("b")
	options.Coalesce = 0
	y, inY := f.start(options)
	ask := func() {
		x.Send("b", ping(1))
		<-inY
		y.Send("a", ping(2))
		<-inX
	}
	ask()
	before := x.Stats()
	for b.Loop() {
		ask()
	}
	after := x.Stats()
	n := float64(b.N)
	b.ReportMetric(float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived)/n, "wire-bytes/op")
	b.ReportMetric(float64(after.PacketsSent-before.PacketsSent+after.PacketsReceived-before.PacketsReceived)/n, "packets/op")
}

// BenchmarkSend keeps a window of messages on the way, as a loaded router does.
func BenchmarkSend(b *testing.B) {
	f := newFleet(b)
	x, _ := f.router("a")
	_, inY := f.router("b")
	claim := twentyClaims().Claims[0]
	m := func(f *wire.Frame) { f.Claims = append(f.Claims, claim) }
	const window = 1024
	arrived := 0
	sent := 0
	x.Send("b", m)
	<-inY
	before := x.Stats()
	for b.Loop() {
		x.Send("b", m)
		for sent++; sent-arrived >= window; {
			arrived += len((<-inY).frame.Claims)
		}
	}
	for arrived < sent {
		arrived += len((<-inY).frame.Claims)
	}
	after := x.Stats()
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/float64(sent), "wire-bytes/op")
	b.ReportMetric(float64(sent)/float64(after.FramesSent-before.FramesSent), "messages/frame")
}

// BenchmarkIdleConnection reports the resident memory of idle connections. Both ends are
// in this process, each connection with its reader; the figure is for one end.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 200
	f := newFleet(b)
	o := f.options("hub")
	o.MaxPeers = conns
	hub, in := f.start(o)
	keys := make([]*keyring, conns)
	for n := range conns {
		p := f.options(wire.RouterID(fmt.Sprint("p", n)))
		k, err := newKeyring(p.Cert, p.Key, p.CA, hub.opts.Log, &hub.counters.refused)
		require.NoError(b, err)
		keys[n] = k
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	dialler := &quic.Transport{Conn: newCountedConn(socket, &hub.counters)}
	defer dialler.Close()
	for b.Loop() {
		before := resident(b)
		open := make([]*conn, conns)
		for n, k := range keys {
			open[n] = dialIdle(b, dialler, hub, k)
			<-in
		}
		b.ReportMetric(float64(resident(b)-before)/conns/2, "rss-bytes/conn")
		for _, c := range open {
			c.close(codeBye, "done")
		}
	}
}

// dialIdle opens a connection to hub that sends one frame and then stays idle.
func dialIdle(b *testing.B, tr *quic.Transport, hub *Transport, k *keyring) *conn {
	addr := hub.quic.Conn.LocalAddr()
	q, err := tr.Dial(context.Background(), addr, k.client("hub"), hub.config)
	require.NoError(b, err)
	c, err := newConn(q, dialled, newEpoch())
	require.NoError(b, err)
	frame, err := encodeBatch([]Message{ping(1)})
	require.NoError(b, err)
	require.NoError(b, c.write(frame, hub.opts.WriteTimeout))
	go func() {
		if reader, err := c.readHeader(context.Background()); err == nil {
			_, _ = reader.next()
		}
	}()
	return c
}

// resident gives this process's resident memory in bytes, without garbage.
func resident(b *testing.B) int64 {
	runtime.GC()
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/statm")
	require.NoError(b, err)
	var size, pages int64
	_, err = fmt.Sscan(string(data), &size, &pages)
	require.NoError(b, err)
	return pages * int64(os.Getpagesize())
}
