package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A small host falls behind while one caller keeps sending to it. It must send callers
// away while it is late, refuse once it is very late, and take them back soon after.
func TestPressureComesAndGoes(t *testing.T) {
	var p pressure
	p.observe(2 * time.Millisecond)
	require.False(t, p.pressed())
	p.observe(100 * time.Millisecond)
	require.True(t, p.pressed())
	require.False(t, p.overrun())
	p.observe(900 * time.Millisecond)
	p.wait = func() time.Duration { return 900 * time.Millisecond }
	require.True(t, p.overrun())
	p.wait = func() time.Duration { return 100 * time.Millisecond }
	require.False(t, p.overrun())
	for range time.Second / pressureLook {
		p.observe(0)
	}
	require.False(t, p.pressed())
}
