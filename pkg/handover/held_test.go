package handover

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// slowPair is a pair whose caller has sent bytes that the router hasn't read.
type slowPair struct {
	*pair
	callerEnd, routerEnd int
	sent, got            bytes.Buffer
}

// newSlowPair returns a pair of r whose sockets to the router hold few bytes.
func newSlowPair(t *testing.T, r *Relay) *slowPair {
	callerEnd, caller := socketPair(t)
	peer, routerEnd := socketPair(t)
	require.NoError(t, unix.SetsockoptInt(peer, unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10))
	p := &slowPair{pair: &pair{caller: caller, peer: peer, target: "r", connected: true}, callerEnd: callerEnd, routerEnd: routerEnd}
	r.pairs[int32(caller)], r.pairs[int32(peer)] = p.pair, p.pair
	r.stateOf("r").openConns++
	return p
}

// send sends as much as the caller's socket accepts.
func (p *slowPair) send(data []byte) {
	n, ok := write(p.callerEnd, data)
	if ok {
		p.sent.Write(data[:n])
	}
}

// receive reads what has arrived at the router.
func (p *slowPair) receive(buf []byte) {
	for n, err := unix.Read(p.routerEnd, buf); err == nil && n > 0; n, err = unix.Read(p.routerEnd, buf) {
		p.got.Write(buf[:n])
	}
}

// Guards against bytes held for many slow receivers whose sum fills the router's memory, and against bytes that are
// lost or moved while it is bounded.
func TestBytesForSlowReceiversAreBoundedTogether(t *testing.T) {
	const conns = 160
	r := &Relay{pairs: make(map[int32]*pair), targetStates: make(map[string]*targetState), buf: make([]byte, bufferSize)}
	buf, data := make([]byte, bufferSize), bytes.Repeat([]byte("0123456789abcde\n"), bufferSize/16)
	pairs := make([]*slowPair, conns)
	held, peak := 0, 0
	for i := range pairs {
		pairs[i] = newSlowPair(t, r)
		pairs[i].send(data)
		pairs[i].send(data)
		r.transfer(pairs[i].pair, time.Now())
		held += cap(pairs[i].pendingUp)
		peak = max(peak, held)
	}
	require.Greater(t, peak, maxHeld, "too little is held to reach the bound")
	require.LessOrEqual(t, peak, maxHeld+bufferSize+conns*2*smallRead)
	for range 1000 {
		for _, p := range pairs {
			p.receive(buf)
			r.transfer(p.pair, time.Now())
		}
	}
	for _, p := range pairs {
		p.receive(buf)
		require.True(t, bytes.Equal(p.sent.Bytes(), p.got.Bytes()), "%d bytes of %d, %d held", p.got.Len(), p.sent.Len(), p.held())
		r.finish(p.pair, broken)
	}
	require.Zero(t, r.held)
}
