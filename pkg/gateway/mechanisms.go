package gateway

import "github.com/flamingowind/flamingowind/pkg/placement"

// Mechanisms of placement that can be switched off, one by one, to measure what each is worth.
type Mechanisms struct {
	// Speeds: what is learned of the speed of engines and of long prompts.
	Speeds bool
	// Pauses: long prompts are placed by the streams that they would make late.
	Pauses bool
	// Fetch: kept parts are fetched from other engines in place of being read again.
	Fetch bool
	// Yield: organisations over their share give way at shorter queues.
	Yield bool
	// Occupancy: they take a part of an engine's slots only.
	Occupancy bool
	// Reserve: a prompt is read again only with time in reserve.
	Reserve bool
	// Harm: a prompt of an organisation over its share may make only so many streams late.
	Harm bool
	// Herds: what other routers do since their last report is reckoned with.
	Herds bool
}

// limits lifts the limits of those that are switched off.
func (m Mechanisms) limits(l *placement.Limits) {
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
