package devfleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two fleets start at the same moment. Were both to be handed one port, the later of
// them would fail with "address in use", now and then and never twice the same.
func TestFleetsThatStartAtOnceShareNoPort(t *testing.T) {
	seen := make(map[string]bool)
	for range 4 {
		p := new(Ports)
		defer p.Close()
		for range 2 * blockPorts {
			addr, err := p.Take()
			require.NoError(t, err)
			require.False(t, seen[addr], addr)
			seen[addr] = true
		}
	}
}
