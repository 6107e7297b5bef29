package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a backoff that is shortened by an older or contradictory response, ends with the entry of its
// upstream, holds for another life, or never ends.
func TestBackoffHoldsForItsLifeAndTime(t *testing.T) {
	h, now := NewHealth(), time.Unix(100, 0)
	first, second := Life{ID: "a", Start: 1}, Life{ID: "a", Start: 2}
	require.True(t, h.RequestBackoff(first, 3*time.Second, now))
	require.False(t, h.RequestBackoff(first, time.Second, now.Add(time.Second)), "a shorter one doesn't end the longer one")
	h.Observe(first, Served, now.Add(time.Second))
	h.Prune(NewSet(nil), now.Add(time.Second))
	_, usable := h.Usable(first, now.Add(3*time.Second-1))
	require.False(t, usable)
	_, usable = h.Usable(second, now)
	require.True(t, usable)
	_, usable = h.Usable(first, now.Add(3*time.Second))
	require.True(t, usable)
	h.RequestBackoff(first, 100*time.Hour, now)
	_, pending := h.BackoffUntil(first, now.Add(MaxBackoff))
	require.False(t, pending)
	h.Prune(NewSet(nil), now.Add(MaxBackoff))
	require.Empty(t, h.records)
}
