package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A small host falls behind while one caller keeps sending to it. It must send callers
// away while it is late, and take them back soon after.
func TestPressureComesAndGoes(t *testing.T) {
	var p pressure
	p.observe(2*time.Millisecond, pressureLook)
	require.False(t, p.pressed())
	p.observe(100*time.Millisecond, pressureLook)
	require.True(t, p.pressed())
	p.observe(900*time.Millisecond, pressureLook)
	for range time.Second / pressureLook {
		p.observe(0, pressureLook)
	}
	require.False(t, p.pressed())
}
