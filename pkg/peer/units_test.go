package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A peer takes nothing for a while. Of the messages for it the newest stay.
func TestFullQueueDropsTheOldest(t *testing.T) {
	q := queue{limit: 3}
	dropped := 0
	for n := range uint64(5) {
		dropped += q.push(ping(n))
	}
	require.Equal(t, 2, dropped)
	f := new(wire.Frame)
	for _, m := range q.take(10) {
		m(f)
	}
	require.Equal(t, []wire.Ping{{Nonce: 2}, {Nonce: 3}, {Nonce: 4}}, f.Pings)
	require.Zero(t, q.len())
}

// Both ends must choose the same one of two connections, whichever each saw first.
func TestBothEndsSettleAlike(t *testing.T) {
	for _, aFirst := range []bool{true, false} {
		for _, bFirst := range []bool{true, false} {
			byA := chosenDialler("a", "b", aFirst)
			byB := chosenDialler("b", "a", bFirst)
			require.Equal(t, byA, byB)
		}
	}
	require.True(t, prefersNew("a", "b", dialled, accepted, 1, 2), "a new process has no other connection")
	require.True(t, prefersNew("b", "a", accepted, accepted, 1, 1), "its dialler gave the older one up")
}

// chosenDialler says who dialled the connection that self keeps.
func chosenDialler(self, peer wire.RouterID, ownFirst bool) wire.RouterID {
	old, fresh := side(ownFirst), side(!ownFirst)
	kept := old
	if prefersNew(self, peer, old, fresh, 1, 1) {
		kept = fresh
	}
	if kept == dialled {
		return self
	}
	return peer
}

// A connection breaks between the moment a frame was made for it and its write. All
// messages of the frame would be lost; they must go out on a new connection.
func TestFrameSurvivesABrokenConnection(t *testing.T) {
	f := newFleet(t)
	a, _ := f.router("a")
	_, inB := f.router("b")
	a.Send("b", ping(1))
	inB.nonces(1)
	l := a.linkIfAny("b")
	broken, _, _ := l.current()
	broken.close(codeBye, "broken by the test")
	l.writeBatch(broken, []Message{ping(2)})
	nonces, _ := inB.nonces(1)
	require.Equal(t, []uint64{2}, nonces)
}

func TestBackoffIsBoundedAndRepeatable(t *testing.T) {
	one, two := newBackoff(5), newBackoff(5)
	for failures := range 100 {
		d := one.after(failures)
		require.Equal(t, d, two.after(failures))
		require.LessOrEqual(t, d, lastBackoff)
		require.GreaterOrEqual(t, d, firstBackoff/2)
	}
}

// Configurations and small messages wait for one peer, together more than a frame may
// hold. They must go in several frames, and only what alone is too large is dropped.
func TestTooLargeBatchIsSplit(t *testing.T) {
	f := newFleet(t)
	a, _ := f.router("a")
	_, inB := f.router("b")
	blob := func(size int) Message {
		return func(fr *wire.Frame) { fr.Configs = append(fr.Configs, wire.ConfigData{Data: make([]byte, size)}) }
	}
	for range 3 {
		a.Send("b", blob(wire.MaxFrame/2))
	}
	a.Send("b", blob(wire.MaxFrame+1))
	a.Send("b", ping(1))
	configs, pings := 0, 0
	for configs < 3 || pings < 1 {
		g := <-inB
		configs += len(g.frame.Configs)
		pings += len(g.frame.Pings)
	}
	require.Equal(t, uint64(1), a.Stats().Undelivered)
}

// What comes from a peer's stream is outside bytes: no input may crash the reader or
// make it hold more than was sent, and what it accepts must survive a round trip.
func FuzzFrameReader(f *testing.F) {
	whole, err := appendFrame(nil, twentyClaims())
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0x80, 0x80, 0x80, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newFrameReader(bytes.NewReader(data))
		for {
			frame, err := reader.next()
			if err != nil {
				require.LessOrEqual(t, reader.buf.Cap(), 4*len(data)+bytes.MinRead+keepBuffer)
				return
			}
			_, err = appendFrame(nil, frame)
			require.NoError(t, err)
		}
	})
}
