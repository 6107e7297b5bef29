package claimant

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Options configures a Claimant.
type Options struct {
	// Incarnation of this router; claim IDs of different incarnations differ.
	Incarnation wire.Incarnation
	// Self is this router; claims to cells that it keeps itself cost no control messages.
	Self wire.RouterID
	// ReportInterval is the time between two reports for one cell.
	ReportInterval time.Duration
	// MaxQueued bounds all waiting requests.
	MaxQueued int
	// MaxQueuedPerOrg bounds an organisation's waiting requests; nil means the default for all.
	MaxQueuedPerOrg func(org string) int
	// Marks returns the recently changed marks of leaving upstreams; may be nil.
	Marks func() []wire.UpstreamMark
	// Entries returns addresses of other routers for refused callers; may be nil.
	Entries func() []string
}

// Defaults of Options.
const (
	defaultReportInterval = 500 * time.Millisecond
	defaultMaxQueued      = 4096
)

func (o Options) withDefaults() Options {
	if o.ReportInterval <= 0 {
		o.ReportInterval = defaultReportInterval
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.MaxQueuedPerOrg == nil {
		o.MaxQueuedPerOrg = func(string) int { return resource.DefaultMaxQueued }
	}
	return o
}

// firstID is the ID before the first claim of an incarnation. It keeps a late grant for a
// claim of an earlier incarnation from matching a claim of this one: the request would run
// on a slot charged to another organisation. IDs stay below 2^32, which is 5 bytes on the
// wire, for the first million claims.
func firstID(inc wire.Incarnation) wire.ClaimID {
	return wire.ClaimID(inc&0xfff) << 20
}
