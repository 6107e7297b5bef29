package load

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const exposition = `# TYPE flamingowind_peer_wire_bytes_sent counter
flamingowind_peer_wire_bytes_sent{peer="router-02"} 100
flamingowind_peer_wire_bytes_sent{peer="router-03"} 50
# TYPE flamingowind_peer_wire_bytes_received counter
flamingowind_peer_wire_bytes_received 70
# TYPE flamingowind_peer_wire_packets_sent counter
flamingowind_peer_wire_packets_sent 3
# TYPE flamingowind_peer_wire_packets_received counter
flamingowind_peer_wire_packets_received 2
# TYPE flamingowind_claimant_claims counter
flamingowind_claimant_claims 9
# TYPE flamingowind_claimant_claims_own counter
flamingowind_claimant_claims_own 4
`

func TestWireSumsSeriesAndSeesARestart(t *testing.T) {
	text := exposition
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	defer server.Close()
	got, err := readWire(t.Context(), server.Listener.Addr().String())
	require.NoError(t, err)
	require.Equal(t, Wire{150, 70, 3, 2, 9, 4}, got)
	require.Equal(t, Wire{50, 20, 1, 1, 8, 4}, got.since(Wire{100, 50, 2, 1, 1, 0}))
	require.Equal(t, got, got.since(Wire{1000, 500, 20, 10, 0, 0}), "counters that fell belong to a new life")

	text = "up 1\n"
	_, err = readWire(t.Context(), server.Listener.Addr().String())
	require.ErrorIs(t, err, errNoCounter)
}

func TestUsageIsReadAfterANameWithBrackets(t *testing.T) {
	line := "42 (a) b (c)) S 1 42 42 0 -1 4194560 1 0 0 0 250 50 0 0 20 0 9 0 100 1000000 2048 0"
	got, err := parseUsage([]byte(line))
	require.NoError(t, err)
	require.Equal(t, Usage{CPU: 3 * time.Second, RSS: 2048 * int64(os.Getpagesize())}, got)
	_, err = readUsage(os.Getpid())
	require.NoError(t, err)
}
