package load

import "time"

// Profile is how one organisation asks.
type Profile struct {
	Org    string
	Weight float64
	// Routers are the indices of the entries that its callers keep using.
	Routers []int
	// Backlog keeps that many requests outstanding (closed loop); 0 for none.
	Backlog int
	// Rate is the mean of Poisson arrivals a second (open loop); 0 for none.
	Rate float64
	// From and To bound the open-loop arrivals, from the start; To 0 is the end.
	From, To time.Duration
	// ServiceShare of the open-loop requests are calls of the plain service.
	ServiceShare float64
	// UrgentShare and BatchShare of the requests have these classes.
	UrgentShare, BatchShare float64
	// PlainShare of the completions aren't streamed.
	PlainShare float64
	Lengths    Lengths
}

// Scenario is a seeded load and the deployment that it is meant for.
type Scenario struct {
	Name              string
	Zones             []string
	Model, Service    string
	Engines, Services int
	// Slots is the number of requests that one engine runs at once, Step its step.
	Slots      int
	Step, Call time.Duration
	Routers    int
	Profiles   []Profile
	Duration   time.Duration
	Seed       uint64
	// CalmUntil splits the run of the flood scenario; 0 elsewhere.
	CalmUntil time.Duration
	// Flooder names the organisation whose first-token times don't count.
	Flooder string
	// CellSize is the model pool's; 0 takes the default.
	CellSize int
	// Follow makes callers use the entries that the system names for their organisation
	// and model, instead of the profiles' routers.
	Follow bool
	// Faults asks for kills, pauses and cuts.
	Faults bool
}

// OneRouter returns the scenario with every organisation at one router.
func (s Scenario) OneRouter() Scenario {
	s.Routers = 1
	profiles := append([]Profile(nil), s.Profiles...)
	for i := range profiles {
		profiles[i].Routers = []int{0}
	}
	s.Profiles = profiles
	return s
}
