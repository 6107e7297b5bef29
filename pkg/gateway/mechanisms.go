package gateway

import "github.com/flamingowind/flamingowind/pkg/placement"

// DisabledMechanisms says which mechanisms of placement are switched off, to measure what each is worth.
type DisabledMechanisms struct {
	// Speeds: the measured prefill speed of engines and cost of long prompts is taken into account.
	Speeds bool
	// Pauses: long prompts are placed so that they make few other streams late.
	Pauses bool
	// Bookings: long prompts take turns at the engines.
	Bookings bool
	// Fetch: cached prefixes are fetched from other engines instead of being recomputed.
	Fetch bool
	// Yield: organisations over their fair share are refused at shorter queues.
	Yield bool
	// Occupancy: organisations over their fair share may take only a part of an engine's slots.
	Occupancy bool
	// Reserve: a prompt is recomputed on another engine only if there is time in reserve.
	Reserve bool
	// Harm: a prompt of an organisation over its fair share may make only so many streams late.
	Harm bool
	// Herds: work that other routers have probably assigned since their last report is counted.
	Herds bool
	// Connected: among nearly equal instances one is preferred to which this router is connected.
	Connected bool
}

// liftLimits removes from l the limits of the mechanisms that are switched off.
func (m DisabledMechanisms) liftLimits(l *placement.Limits) {
	if m.Yield {
		l.Queue, l.ChosenQueue, l.OverShare, l.ShedFraction = l.Wait, l.Wait, false, 0
	}
	if m.Occupancy {
		l.Occupancy = 0
	}
	if m.Reserve {
		l.RecomputeReserve = 0
	}
	if m.Harm {
		l.Harm = 0
	}
}
