package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against demand that is counted from read requests only. Callers of one organisation open
// 400 connections a second to a small router, which reads 100 and rejects the others unread. Counted
// by these, the organisation asks for less than its share, and no other is limited in its favour.
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
