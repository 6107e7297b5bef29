package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Options configures a keeper. Zero values mean the defaults in brackets.
type Options struct {
	Cell wire.CellID
	// TTL is how long a router may start a grant, on the router's clock [2 s].
	TTL time.Duration
	// TTLMargin is added when the keeper itself counts a TTL [TTL/4]; it covers clock drift.
	TTLMargin time.Duration
	// ReportInterval is the interval of the routers' reports [500 ms].
	ReportInterval time.Duration
	// TakeoverTimeout bounds how long a new keeper waits for Full reports [2 × ReportInterval].
	TakeoverTimeout time.Duration
	// MembershipSkew is the largest difference between the times at which routers learn of a new
	// keeper [ReportInterval/2].
	MembershipSkew time.Duration
	// SilenceTimeout is how long an unconfirmed slot is held [TTL + TTLMargin + 4 × ReportInterval].
	SilenceTimeout time.Duration
	// MaxWaiting bounds the waiting claims of all organisations [16384]. When it is
	// reached, organisations below an equal part of it may still add claims, so that a
	// flood doesn't shut out the others. The hard bound is twice this value.
	MaxWaiting int
	// MaxWaitingPerOrg bounds the waiting claims of one organisation [4096].
	MaxWaitingPerOrg int
	// UrgentReserve is the number of the cell's slots that only urgent claims of
	// organisations within their share may use [0].
	UrgentReserve int
	// GrantAhead is the number of grants beyond the fixed limit of each upstream [0]. It
	// hides the round trip after a slot is freed, at the cost of a queue inside the engine.
	GrantAhead int
	// Slice and Slices limit the keeper to one of Slices equal parts of every upstream, for
	// the mode in which each router keeps all cells for itself [whole upstreams].
	Slice, Slices int
	// Crashes returns how many upstreams crashed while a content ran on them; nil means
	// none.
	Crashes func(content uint64) int
	// MaxCrashes is the number of crashes from which a content is refused [2].
	MaxCrashes int
	// SuspectDrainDelay is how long a suspect waits for an idle upstream before one is
	// drained for it [2 s].
	SuspectDrainDelay time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.TTL, 2*time.Second)
	setDefault(&o.TTLMargin, o.TTL/4)
	setDefault(&o.ReportInterval, 500*time.Millisecond)
	setDefault(&o.TakeoverTimeout, 2*o.ReportInterval)
	setDefault(&o.MembershipSkew, o.ReportInterval/2)
	setDefault(&o.SilenceTimeout, o.TTL+o.TTLMargin+4*o.ReportInterval)
	setDefault(&o.MaxWaiting, 16384)
	setDefault(&o.MaxWaitingPerOrg, 4096)
	setDefault(&o.Slices, 1)
	setDefault(&o.MaxCrashes, 2)
	setDefault(&o.SuspectDrainDelay, 2*time.Second)
	if o.Crashes == nil {
		o.Crashes = func(uint64) int { return 0 }
	}
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
