package gateway

import "time"

// Settings control the decisions of a gateway.
type Settings struct {
	// Router is this router's name, Zone its availability zone.
	Router string
	Zone   string
	// PrefillTokensPerMs is how many prompt tokens an engine prefills per millisecond while it also
	// generates.
	PrefillTokensPerMs float64
	// FirstEvent is the time from the end of the prefill to the first event.
	FirstEvent time.Duration
	// SlotTurn is the time after which one of a full engine's slots becomes free.
	SlotTurn time.Duration
	// ConnectCost is the time that a new connection to an instance costs a request; 0 for no preference
	// for instances that this router is connected to.
	ConnectCost time.Duration
	// Disabled are the mechanisms that are switched off, to measure what they are worth.
	Disabled DisabledMechanisms
	// Cores is the number of CPU cores of the router, MaxEventDelay how long an event of a stream may
	// take through it; 0 if unknown.
	Cores         float64
	MaxEventDelay time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit retries over all routers.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Grace is the time between the signal to stop and the forced end.
	Grace time.Duration
}
