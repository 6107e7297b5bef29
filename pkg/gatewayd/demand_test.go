package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers of one organisation open 400 connections a second to a small router, which reads 100 of
// them and turns the others away unread. By what it reads the organisation asks for a quarter of
// what it does, less than its due, and nobody gives way to it.
func TestDemandFactorCountsRejectedConnections(t *testing.T) {
	var accepted, rejected int64
	d := &demand{counts: func() (int64, int64) { return accepted, rejected }}
	now := time.Unix(1000, 0)
	require.Equal(t, 1.0, d.factor(now), "nothing came")
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		accepted += 10
		rejected += 30
		d.factor(now)
	}
	require.InDelta(t, 4, d.factor(now), 0.2)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		accepted += 10
		d.factor(now)
	}
	require.InDelta(t, 1, d.factor(now), 0.01, "long after")
	require.Equal(t, 1.0, (*demand)(nil).factor(now))
}
