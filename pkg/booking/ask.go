package booking

import "time"

// Ask asks for a booking of one prompt at one of several engines.
type Ask struct {
	// MaxPauseMs is the longest pause that the streams of the service may make, in milliseconds.
	MaxPauseMs int `cbor:"1,keyasint"`
	// OverShare marks a prompt of an organisation over its share.
	OverShare bool `cbor:"2,keyasint,omitempty"`
	// Offers are the engines that may run the prompt, MaxOffers at most.
	Offers []Offer `cbor:"3,keyasint"`
}

// Offer is an engine that may run the prompt.
type Offer struct {
	// Instance and Life identify a life of the engine, as upstream.Life does.
	Instance string `cbor:"1,keyasint"`
	Life     uint32 `cbor:"2,keyasint,omitempty"`
	// CostMs is the cost of the engine without its queue, QueueMs the queue that the asking router
	// knows of, MaxWaitMs the longest queue with which the prompt is still served in time, and
	// PrefillMs the time for its prefill, all in milliseconds.
	CostMs    int `cbor:"3,keyasint,omitempty"`
	QueueMs   int `cbor:"4,keyasint,omitempty"`
	MaxWaitMs int `cbor:"5,keyasint,omitempty"`
	PrefillMs int `cbor:"6,keyasint,omitempty"`
}

// Answer is a keeper's answer.
type Answer struct {
	// Offer is the index of the offer that is booked, None where no engine has room in time.
	Offer int `cbor:"1,keyasint"`
	// DelayMs is the time after which the prompt is to be sent; with None the time after which
	// there may be room. It is in milliseconds.
	DelayMs int `cbor:"2,keyasint,omitempty"`
}

const (
	// None says that nothing is booked.
	None = -1
	// notDecided is the offer of an answer to an ask that the keeper doesn't decide; the router that
	// asked counts it as no answer.
	notDecided = -2
)

const (
	// MaxOffers bounds the offers of an Ask.
	MaxOffers = 16
	// maxMs bounds each time in an Ask: no prompt is prefilled for longer, and no sum overflows.
	maxMs = 600_000
)

// valid reports whether the ask is one that a router makes.
func (a *Ask) valid() bool {
	if a.MaxPauseMs <= 0 || a.MaxPauseMs > maxMs || len(a.Offers) == 0 || len(a.Offers) > MaxOffers {
		return false
	}
	for i := range a.Offers {
		if !a.Offers[i].valid() {
			return false
		}
	}
	return true
}

func (o *Offer) valid() bool {
	for _, ms := range []int{o.QueueMs, o.MaxWaitMs, o.PrefillMs} {
		if ms < 0 || ms > maxMs {
			return false
		}
	}
	return o.Instance != "" && -maxMs <= o.CostMs && o.CostMs <= maxMs
}

// answers reports whether the answer is one to ask: nothing, or an offer with a delay that leaves the
// prompt in time.
func (a Answer) answers(ask *Ask) bool {
	if a.Offer < None || a.Offer >= len(ask.Offers) || a.DelayMs < 0 || a.DelayMs > maxMs {
		return false
	}
	return a.Offer == None || a.DelayMs <= ask.Offers[a.Offer].MaxWaitMs
}

// Delay is DelayMs as a duration.
func (a Answer) Delay() time.Duration { return millis(a.DelayMs) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Millis rounds a duration to whole milliseconds within the bounds of an Ask.
func Millis(d time.Duration) int {
	return int(max(-maxMs, min(maxMs, d.Round(time.Millisecond).Milliseconds())))
}
