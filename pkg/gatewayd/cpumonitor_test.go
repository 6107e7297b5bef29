package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A small host falls behind while one caller keeps sending to it. It must send callers
// away while it is late, and take them back soon after.
func TestCPUStarvationComesAndGoes(t *testing.T) {
	var p cpuMonitor
	p.observe(2*time.Millisecond, checkInterval)
	require.False(t, p.starved())
	p.observe(100*time.Millisecond, checkInterval)
	require.True(t, p.starved())
	p.observe(900*time.Millisecond, checkInterval)
	for range time.Second / checkInterval {
		p.observe(0, checkInterval)
	}
	require.False(t, p.starved())
}
