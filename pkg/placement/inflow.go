package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// inflowWindow is the time constant in seconds with which what was given is forgotten: short
	// against a burst, long against the tenths of a second between two reports.
	inflowWindow = 1.0
	// mostUnseen bounds the time for which others are taken to go on as they were last told to
	// do. A second is many times the usual age of reports; beyond it the routers are cut off.
	mostUnseen = time.Second
)

// Inflow is what routers give to the instances of a service, counted as the time by which it
// raises their costs.
type Inflow struct {
	// Rate is how much is given in a second.
	Rate time.Duration
	// Unseen is how much was given since the loads that are known of were counted.
	Unseen time.Duration
	// Spare is how many requests a second come from organisations over their share, which may
	// only have what others leave.
	Spare float64
}

// Inflows tells how much other routers have given to the instances of a service that the loads
// told by them don't hold yet.
type Inflows struct {
	mu  sync.Mutex
	own map[string]*given
	// spare counts requests of organisations over their share.
	spare  map[string]*given
	others map[string]Inflow
	// at is when others was told.
	at time.Time
}

// given is a sum that decays.
type given struct {
	sum float64 // seconds of work, or requests
	at  time.Time
}

func (g *given) decay(now time.Time) {
	passed := now.Sub(g.at).Seconds()
	if passed > 0 {
		g.sum *= math.Exp(-passed / inflowWindow)
		g.at = now
	}
}

// NewInflows returns accounts in which nothing was given.
func NewInflows() *Inflows {
	return &Inflows{own: make(map[string]*given), spare: make(map[string]*given)}
}

// Give counts work that this router gives to an instance of a service.
func (f *Inflows) Give(service string, work time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(f.own, service, work.Seconds(), now)
}

// AskSpare counts a request of an organisation over its share that came to this router.
func (f *Inflows) AskSpare(service string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(f.spare, service, 1, now)
}

func add(to map[string]*given, service string, n float64, now time.Time) {
	g := to[service]
	if g == nil {
		g = &given{at: now}
		to[service] = g
	}
	g.decay(now)
	g.sum += n
}

// Own gives what comes to this router and what it gives, by service.
func (f *Inflows) Own(now time.Time) map[string]Inflow {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := make(map[string]Inflow, len(f.own))
	for service, g := range f.own {
		g.decay(now)
		own[service] = Inflow{Rate: time.Duration(g.sum / inflowWindow * float64(time.Second))}
	}
	for service, g := range f.spare {
		g.decay(now)
		of := own[service]
		of.Spare = g.sum / inflowWindow
		own[service] = of
	}
	return own
}

// SetOthers replaces what the other routers give, as told at now.
func (f *Inflows) SetOthers(others map[string]Inflow, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others, f.at = others, now
}

// Unseen is what other routers do that the loads which they told don't hold yet.
type Unseen struct {
	// Given is what they have given to the instances of the service.
	Given time.Duration
	// Spare is how many requests of organisations over their share have come to them.
	Spare float64
	// Age is how old those loads are.
	Age time.Duration
}

// Unseen gives what the other routers have done for a service since the loads that they told
// were counted.
func (f *Inflows) Unseen(service string, now time.Time) Unseen {
	f.mu.Lock()
	defer f.mu.Unlock()
	told := f.others[service]
	if told.Rate <= 0 {
		return Unseen{}
	}
	age := now.Sub(f.at).Seconds() + told.Unseen.Seconds()/told.Rate.Seconds()
	age = max(0, min(age, mostUnseen.Seconds()))
	return Unseen{Given: time.Duration(age * float64(told.Rate)), Spare: age * told.Spare, Age: time.Duration(age * float64(time.Second))}
}
