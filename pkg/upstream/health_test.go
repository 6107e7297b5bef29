package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var a = Life{ID: "a", Start: 1}

// Guards against counting one crash as many failures: all requests on a crashed engine break off
// together, and twenty failures in a row would suspend it long after it is back.
func TestHealthCountsOneCrashOnce(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	require.Equal(t, minSuspension, h.Observe(a, ConnectionFailed, now))
	for range 20 {
		require.Zero(t, h.Observe(a, ConnectionFailed, now))
	}
	_, ok := h.Usable(a, now)
	require.False(t, ok)
	handicap, ok := h.Usable(a, now.Add(minSuspension))
	require.True(t, ok)
	require.Positive(t, handicap)
	require.Equal(t, 2*minSuspension, h.Observe(a, ConnectionFailed, now.Add(minSuspension)))
}

func TestHealthHandicapsFailuresAndForgives(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	for range 10 {
		h.Observe(a, Failed, now)
	}
	bad, _ := h.Usable(a, now)
	require.Greater(t, bad, failureHandicap/2)
	for range 20 {
		h.Observe(a, Served, now)
	}
	good, _ := h.Usable(a, now)
	require.Less(t, good, failureHandicap/10)
	h.Prune(NewSet(nil), now)
	require.Empty(t, h.records)
}

func TestSetApply(t *testing.T) {
	s := NewSet([]Instance{{ID: "b", Service: "x"}, {ID: "a", Service: "x"}})
	require.Equal(t, ID("a"), s.ByService("x")[0].ID)
	same, differs := s.Apply([]Change{{Instance: Instance{ID: "a", Service: "x"}}, {Instance: Instance{ID: "z"}, Gone: true}})
	require.False(t, differs)
	require.Same(t, s, same)
	next, differs := s.Apply([]Change{{Instance: Instance{ID: "a"}, Gone: true}, {Instance: Instance{ID: "b", Service: "x", State: Draining}}})
	require.True(t, differs)
	require.Nil(t, next.Get("a"))
	require.Equal(t, Draining, next.Get("b").State)
	require.NotNil(t, s.Get("a"), "the old set is unchanged")
}
