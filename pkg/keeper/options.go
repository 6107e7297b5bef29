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
	// Margin is added when the keeper itself counts a TTL [TTL/4]; it covers clock drift.
	Margin time.Duration
	// Report is the interval of the routers' reports [500 ms].
	Report time.Duration
	// Settle bounds how long a new keeper waits for Full reports [2 × Report].
	Settle time.Duration
	// Skew is the largest difference between the times at which routers learn of a new
	// keeper [Report/2].
	Skew time.Duration
	// Silent is how long an unconfirmed slot is held [TTL + Margin + 4 × Report].
	Silent time.Duration
	// MaxWaiting bounds the waiting claims of all organisations [16384]. When it is
	// reached, organisations below an equal part of it may still add claims, so that a
	// flood doesn't shut out the others. The hard bound is twice this value.
	MaxWaiting int
	// MaxWaitingOrg bounds the waiting claims of one organisation [4096].
	MaxWaitingOrg int
	// ReserveUrgent is the number of the cell's slots that only urgent claims of
	// organisations within their share may use [0].
	ReserveUrgent int
	// GrantAhead is the number of grants beyond the fixed limit of each upstream [0]. It
	// hides the round trip after a slot is freed, at the cost of a queue inside the engine.
	GrantAhead int
	// Slice and Slices limit the keeper to one of Slices equal parts of every upstream, for
	// the mode in which each router keeps all cells for itself [whole upstreams].
	Slice, Slices int
	// Deaths returns how many upstreams crashed while a content ran on them; nil means
	// none.
	Deaths func(content uint64) int
	// MaxDeaths is the number of crashes from which a content is refused [2].
	MaxDeaths int
	// SuspectPatience is how long a suspect waits for an idle upstream before one is
	// drained for it [2 s].
	SuspectPatience time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.TTL, 2*time.Second)
	setDefault(&o.Margin, o.TTL/4)
	setDefault(&o.Report, 500*time.Millisecond)
	setDefault(&o.Settle, 2*o.Report)
	setDefault(&o.Skew, o.Report/2)
	setDefault(&o.Silent, o.TTL+o.Margin+4*o.Report)
	setDefault(&o.MaxWaiting, 16384)
	setDefault(&o.MaxWaitingOrg, 4096)
	setDefault(&o.Slices, 1)
	setDefault(&o.MaxDeaths, 2)
	setDefault(&o.SuspectPatience, 2*time.Second)
	if o.Deaths == nil {
		o.Deaths = func(uint64) int { return 0 }
	}
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
