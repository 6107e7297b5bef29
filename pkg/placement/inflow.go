package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// inflowWindow is the time constant, in seconds, with which past work decays: short against a
	// burst, long against the tenths of a second between two reports.
	inflowWindow = 1.0
	// maxUnseenAge bounds the time for which other routers are assumed to continue as last
	// reported. A second is many times the usual age of reports; beyond it the routers are cut off.
	maxUnseenAge = time.Second
)

// Inflow is the rate of work that routers assign to the instances of a service, measured as the
// time by which it raises their costs.
type Inflow struct {
	// Rate is the work assigned in a second.
	Rate time.Duration
	// Unseen is the work assigned since the known loads were counted.
	Unseen time.Duration
	// OverShare is the number of requests a second of organisations over their share, which only
	// get the capacity that others leave.
	OverShare float64
}

// Inflows estimates the work that other routers have assigned to the instances of a service and
// that their reported loads don't include yet.
type Inflows struct {
	mu  sync.Mutex
	own map[string]*decayingSum
	// overShare counts requests of organisations over their share.
	overShare map[string]*decayingSum
	others    map[string]Inflow
	// reportedAt is when others was reported.
	reportedAt time.Time
}

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	sum       float64 // seconds of work, or requests
	updatedAt time.Time
}

func (d *decayingSum) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt).Seconds()
	if elapsed > 0 {
		d.sum *= math.Exp(-elapsed / inflowWindow)
		d.updatedAt = now
	}
}

// NewInflows returns Inflows without any work.
func NewInflows() *Inflows {
	return &Inflows{own: make(map[string]*decayingSum), overShare: make(map[string]*decayingSum)}
}

// Assign counts work that this router assigns to an instance of a service.
func (f *Inflows) Assign(service string, work time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addTo(f.own, service, work.Seconds(), now)
}

// CountOverShare counts a request of an organisation over its share that arrived at this router.
func (f *Inflows) CountOverShare(service string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addTo(f.overShare, service, 1, now)
}

func addTo(sums map[string]*decayingSum, service string, n float64, now time.Time) {
	d := sums[service]
	if d == nil {
		d = &decayingSum{updatedAt: now}
		sums[service] = d
	}
	d.decay(now)
	d.sum += n
}

// Own returns this router's own inflow, by service.
func (f *Inflows) Own(now time.Time) map[string]Inflow {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := make(map[string]Inflow, len(f.own))
	for service, d := range f.own {
		d.decay(now)
		own[service] = Inflow{Rate: time.Duration(d.sum / inflowWindow * float64(time.Second))}
	}
	for service, d := range f.overShare {
		d.decay(now)
		inflow := own[service]
		inflow.OverShare = d.sum / inflowWindow
		own[service] = inflow
	}
	return own
}

// SetOthers replaces the inflow that the other routers reported, as of now.
func (f *Inflows) SetOthers(others map[string]Inflow, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others, f.reportedAt = others, now
}

// Unseen is the traffic at other routers that their reported loads don't include yet.
type Unseen struct {
	// Assigned is the work that they have assigned to the instances of the service.
	Assigned time.Duration
	// OverShare is the number of requests of organisations over their share that arrived there.
	OverShare float64
	// Age is the age of the reported loads.
	Age time.Duration
}

// Unseen estimates the traffic at the other routers for a service since the loads that they
// reported were counted.
func (f *Inflows) Unseen(service string, now time.Time) Unseen {
	f.mu.Lock()
	defer f.mu.Unlock()
	reported := f.others[service]
	if reported.Rate <= 0 {
		return Unseen{}
	}
	age := now.Sub(f.reportedAt).Seconds() + reported.Unseen.Seconds()/reported.Rate.Seconds()
	age = max(0, min(age, maxUnseenAge.Seconds()))
	return Unseen{Assigned: time.Duration(age * float64(reported.Rate)), OverShare: age * reported.OverShare, Age: time.Duration(age * float64(time.Second))}
}
