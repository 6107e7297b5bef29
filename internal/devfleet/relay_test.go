package devfleet

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A partition between a router and the platform neither resets connections nor loses
// bytes: the sender sees silence, and what it sent arrives once the link is back.
// The relay must do the same, or tests of partitions would test resets.
func TestTCPRelayHoldsBytesWhileCut(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	relay, err := NewTCPRelay("127.0.0.1:0", target.Addr().String())
	require.NoError(t, err)
	defer relay.Close()

	conn, err := net.Dial("tcp", relay.Addr())
	require.NoError(t, err)
	defer conn.Close()
	server, err := target.Accept()
	require.NoError(t, err)
	defer server.Close()

	relay.Cut()
	_, err = conn.Write([]byte("held"))
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	got := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(server)
		got <- string(all)
	}()
	select {
	case early := <-got:
		t.Fatalf("%q passed a cut link", early)
	default:
	}
	relay.Heal()
	require.Equal(t, "held", <-got)
}

// Guards against a reset that one end takes for an end in order, as the relay hears of it from the other
// end first.
func TestTCPRelayResetsBothEnds(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	relay, err := NewTCPRelay("127.0.0.1:0", target.Addr().String())
	require.NoError(t, err)
	defer relay.Close()
	for range 300 {
		conn, err := net.Dial("tcp", relay.Addr())
		require.NoError(t, err)
		server, err := target.Accept()
		require.NoError(t, err)
		_, err = server.Write([]byte("part"))
		require.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 4))
		require.NoError(t, err)
		relay.Reset()
		for _, end := range []net.Conn{conn, server} {
			_, err = end.Read(make([]byte, 1))
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			end.Close()
		}
	}
}

// A router is cut off from its peers only. Its datagrams must be dropped at the
// others' relays, which know it by its source address, while theirs still pass.
func TestUDPRelayBlocksOneSource(t *testing.T) {
	target := listenUDP(t)
	relay, err := NewUDPRelay("127.0.0.1:0", target.LocalAddr().String())
	require.NoError(t, err)
	defer relay.Close()
	cut, open := dialUDP(t, relay.Addr()), dialUDP(t, relay.Addr())

	relay.Block(cut.LocalAddr().String())
	write(t, cut, "dropped")
	write(t, open, "passes")
	buf := make([]byte, 64)
	n, from, err := target.ReadFrom(buf)
	require.NoError(t, err)
	require.Equal(t, "passes", string(buf[:n]))

	_, err = target.WriteTo([]byte("answer"), from)
	require.NoError(t, err)
	n, err = open.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "answer", string(buf[:n]))

	relay.Unblock(cut.LocalAddr().String())
	write(t, cut, "again")
	n, _, err = target.ReadFrom(buf)
	require.NoError(t, err)
	require.Equal(t, "again", string(buf[:n]))
}

func listenUDP(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func dialUDP(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("udp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
}
