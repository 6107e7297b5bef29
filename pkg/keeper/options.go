package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Options of one keeper. Zero values take the defaults in brackets.
type Options struct {
	Cell wire.CellID
	// TTL is how long a grant may be started, on the router's clock [2 s].
	TTL time.Duration
	// Margin is added where the keeper counts a TTL itself [TTL/4]: it covers clocks that
	// run at different rates.
	Margin time.Duration
	// Report is the interval of the routers' reports [500 ms].
	Report time.Duration
	// Settle bounds how long a new keeper waits for Full reports [2 × Report].
	Settle time.Duration
	// Skew is how far apart routers learn that a cell's keeper changed [Report/2].
	Skew time.Duration
	// Silent is how long a slot is held without any news of it [TTL + Margin + 4 × Report].
	Silent time.Duration
	// MaxWaiting bounds the waiting claims of all organisations [16384]; organisations
	// under their equal part of it are still let in when it is reached, so that a flood
	// doesn't shut the others out. The hard bound is twice this.
	MaxWaiting int
	// MaxWaitingOrg bounds the waiting claims of one organisation [4096].
	MaxWaitingOrg int
	// ReserveUrgent is the number of the cell's slots that only urgent claims of
	// organisations within their share may take [0].
	ReserveUrgent int
	// GrantAhead is the number of grants beyond the fixed limit of each upstream [0]: it
	// hides the round trip after a slot is freed, at the price of a queue inside the engine.
	GrantAhead int
	// Slice and Slices give this keeper one of Slices parts of every upstream, for the
	// baseline in which each router keeps all cells for itself [whole upstreams].
	Slice, Slices int
	// Deaths tells how many upstreams died while this content ran on them; nil knows none.
	Deaths func(content uint64) int
	// MaxDeaths is the number of deaths from which a content is refused [2].
	MaxDeaths int
	// SuspectPatience is how long a suspect waits for an idle upstream before one is
	// emptied for it [2 s].
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
