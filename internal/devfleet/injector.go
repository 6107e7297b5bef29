package devfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
)

// FaultKind names what an Injector does to a router.
type FaultKind string

// Kinds of faults.
const (
	FaultKill  FaultKind = "kill"  // SIGKILL, and a restart with no state
	FaultPause FaultKind = "pause" // SIGSTOP, then SIGCONT
	FaultCut   FaultKind = "cut"   // off from all peers and from the platform
)

// Fault is one planned fault, at an offset from the start of a load.
type Fault struct {
	Kind   FaultKind
	Router int
	At     time.Duration
	// For is how long it lasts: until the restart, the SIGCONT or the healing.
	For time.Duration
}

// Injected is a fault that was brought about.
type Injected struct {
	Fault
	Entry    string
	From, To time.Time
}

// Shares of a load's duration at which seeded faults happen.
const (
	firstFaultAt = 0.15
	lastFaultAt  = 0.7
	faultLasts   = 0.12
)

// SeededFaults spreads one fault of each kind, two times over, on routers and times
// that follow from the seed alone.
func SeededFaults(seed uint64, routers int, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := []FaultKind{FaultKill, FaultPause, FaultCut, FaultKill, FaultPause, FaultCut}
	var plan []Fault
	for i, kind := range kinds {
		share := firstFaultAt + (lastFaultAt-firstFaultAt)*(float64(i)+rng.Float64())/float64(len(kinds))
		plan = append(plan, Fault{
			Kind: kind, Router: rng.IntN(routers),
			At:  time.Duration(share * float64(duration)),
			For: time.Duration(faultLasts * float64(duration)),
		})
	}
	return plan
}

// Injector brings planned faults about and keeps what it did.
type Injector struct {
	fleet *Fleet

	mu   sync.Mutex
	done []Injected
}

// NewInjector returns an injector for a fleet with relays.
func NewInjector(f *Fleet) *Injector { return &Injector{fleet: f} }

// Run brings the faults about, one after the other, and returns when all are over.
// A fault that falls into the one before begins when that one is over.
func (j *Injector) Run(ctx context.Context, plan []Fault) error {
	start := time.Now()
	for _, fault := range plan {
		if !sleep(ctx, time.Until(start.Add(fault.At))) {
			return nil
		}
		if err := j.bring(ctx, fault); err != nil {
			return err
		}
	}
	return nil
}

func (j *Injector) bring(ctx context.Context, fault Fault) error {
	router := j.fleet.Routers[fault.Router]
	log.WithField("router", router.Info.ID).WithField("fault", fault.Kind).Info("fault begins")
	at := j.begin(Injected{Fault: fault, Entry: router.Info.Entry, From: time.Now()})
	defer j.end(at)
	if err := j.start(fault, router); err != nil {
		return err
	}
	sleep(ctx, fault.For)
	return j.stop(ctx, fault, router)
}

func (j *Injector) start(fault Fault, r *Router) error {
	switch fault.Kind {
	case FaultKill:
		return r.Kill()
	case FaultPause:
		return r.Pause()
	default:
		j.fleet.Isolate(fault.Router)
		r.Platform.Cut()
		return nil
	}
}

func (j *Injector) stop(ctx context.Context, fault Fault, r *Router) error {
	switch fault.Kind {
	case FaultKill:
		return j.fleet.Restart(ctx, fault.Router)
	case FaultPause:
		return r.Resume()
	default:
		j.fleet.Rejoin(fault.Router)
		r.Platform.Heal()
		return nil
	}
}

func (j *Injector) begin(i Injected) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done = append(j.done, i)
	return len(j.done) - 1
}

func (j *Injector) end(at int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[at].To = time.Now()
}

// Killed reports whether a kill of the router at entry explains that a connection to
// it broke between from and to. Besides connections that were open when it died, these
// are connections made just before its sockets went away, and idle ones that the
// caller took up before it noticed. A pause or a cut breaks none.
func (j *Injector) Killed(entry string, from, to time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, i := range j.done {
		endsLater := i.To.IsZero() || !i.To.Before(from)
		if i.Kind == FaultKill && i.Entry == entry && !i.From.After(to) && endsLater {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
