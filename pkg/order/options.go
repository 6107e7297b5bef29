package order

import (
	"time"

	"github.com/apex/log"
)

// Options set the times of leases and reconciliation. Zero fields take the defaults.
type Options struct {
	// Router names this router in the lease rows, for who reads them.
	Router string
	// Log is told of orders; nil takes the standard logger.
	Log log.Interface
	// TTL is the time of a lease, Margin what its holder gives up of it and what a
	// successor waits beyond it.
	TTL    time.Duration
	Margin time.Duration
	// LongestOrder bounds the time from sending an order until the engine has followed
	// or dropped it.
	LongestOrder time.Duration
	// Interval is the time between two looks at an engine.
	Interval time.Duration
	// Patience is how long a router of rank n waits, n times, for those before it.
	Patience time.Duration
	// WeightsPatience bounds the wait for the weight store with one lease.
	WeightsPatience time.Duration
	// Timeout bounds one operation of the table, the weight store or a state request.
	Timeout time.Duration
	// GrantsPerSecond is this router's part of the fleet's grants; see Reconciler.SetRate.
	GrantsPerSecond float64
}

// Defaults of Options.
const (
	DefaultTTL             = 15 * time.Second
	DefaultMargin          = time.Second
	DefaultLongestOrder    = 60 * time.Second
	DefaultInterval        = 5 * time.Second
	DefaultPatience        = 30 * time.Second
	DefaultWeightsPatience = 5 * time.Minute
	DefaultTimeout         = time.Second
	DefaultGrantsPerSecond = 5
)

func (o Options) withDefaults() Options {
	o.TTL = orDefault(o.TTL, DefaultTTL)
	o.Margin = orDefault(o.Margin, DefaultMargin)
	o.LongestOrder = orDefault(o.LongestOrder, DefaultLongestOrder)
	o.Interval = orDefault(o.Interval, DefaultInterval)
	o.Patience = orDefault(o.Patience, DefaultPatience)
	o.WeightsPatience = orDefault(o.WeightsPatience, DefaultWeightsPatience)
	o.Timeout = orDefault(o.Timeout, DefaultTimeout)
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.GrantsPerSecond <= 0 {
		o.GrantsPerSecond = DefaultGrantsPerSecond
	}
	return o
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// takeoverAfter is how long a lease row must stay unchanged, on the observer's own
// clock, before it may be taken over.
//
// Guard: the holder may send its last order just before its lease ends, and an engine
// that ignores the fencing number follows it up to LongestOrder later, over an order
// of the successor. An engine that checks refuses it, so there only the lease counts.
func (o Options) takeoverAfter(checksFence bool) time.Duration {
	wait := o.TTL + o.Margin
	if !checksFence {
		wait += o.LongestOrder
	}
	return wait
}
