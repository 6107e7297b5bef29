package handover

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a malformed address reported by a peer that is taken for another address, or that
// crashes the router.
func FuzzSockaddr(f *testing.F) {
	for _, addr := range []string{"10.0.0.1:8783", "", "10.0.0.1", "[::1]:80", "[::ffff:10.0.0.1]:80", "10.0.0.1:99999", "host:80"} {
		f.Add(addr)
	}
	f.Fuzz(func(t *testing.T, addr string) {
		to, err := sockaddr(addr)
		if err != nil {
			require.Nil(t, to)
			return
		}
		require.Equal(t, addr, netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port)).String())
	})
}
