package gatewayd

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Callers of "flood" come to this router, those of "behind" to another one that reads little of
// what they ask. The line names both, and what each gets from the whole fleet.
func TestOrganisationsOverTheirShareAreLogged(t *testing.T) {
	lines := memory.New()
	shares, now := placement.NewShares(), time.Unix(1000, 0)
	u := shareUsage{shares: shares, capacity: func() float64 { return 300 }, log: &log.Logger{Handler: lines, Level: log.InfoLevel}}
	shares.AddAsked("flood", 1000, now)
	shares.AddGot("flood", 800, now)
	shares.AddBegun("flood", 600, now)
	shares.AddAsked("small", 20, now)
	shares.AddGot("small", 20, now)
	shares.SetOthers(map[string]placement.Use{"behind": {Asked: 500, Got: 100}, "flood": {Asked: 50, Got: 50}})
	u.report(now)
	require.Len(t, lines.Entries, 1)
	f := lines.Entries[0].Fields
	require.Equal(t, "flood", f["organisation"])
	require.Equal(t, []any{500, 400, 300, 450}, []any{f["asked"], f["got"], f["begun"], f["fleet_got"]})
	require.Equal(t, "behind", f["behind"])
	require.Equal(t, 100, f["behind_got"])
	require.InDelta(t, 4.5, f["ahead"], 0.01)
}

// Before the first configuration nothing is known of what is due.
func TestNothingIsLoggedWithoutACapacity(t *testing.T) {
	lines := memory.New()
	u := shareUsage{shares: placement.NewShares(), capacity: func() float64 { return 0 }, log: &log.Logger{Handler: lines, Level: log.InfoLevel}}
	u.shares.AddAsked("flood", 1000, time.Unix(1000, 0))
	u.report(time.Unix(1000, 0))
	require.Empty(t, lines.Entries)
}
