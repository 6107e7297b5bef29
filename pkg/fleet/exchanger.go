package fleet

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// Path is where routers post their reports to each other.
const Path = "/fleet/report"

// Exchanger exchanges reports with the peers of a fleet.
type Exchanger struct {
	fleet *Fleet
	http  *http.Client
	meter traffic.Meter
}

// peerBuffer is the size of a connection's buffers in bytes; a report fits.
const peerBuffer = 2 << 10

// maxAnswerHead bounds the head of a peer's answer, in bytes.
const maxAnswerHead = 16 << 10

// idleConnTimeout is how long an unused connection to a peer stays open.
const idleConnTimeout = 20 * time.Second

// NewExchanger returns the exchanger of f.
func NewExchanger(f *Fleet) *Exchanger {
	e := &Exchanger{fleet: f}
	e.DialWith(forward.Dialer(requestTimeout).DialContext)
	return e
}

// DialWith sets the function that opens connections. It must not be called once Run has started.
func (e *Exchanger) DialWith(dial traffic.DialFunc) {
	e.http = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DialContext: e.meter.Dial(dial), MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: idleConnTimeout,
		DisableCompression: true, ReadBufferSize: peerBuffer, WriteBufferSize: peerBuffer, MaxResponseHeaderBytes: maxAnswerHead,
	}}
}

// Traffic returns the bytes carried so far by the exchanges that this router began.
func (e *Exchanger) Traffic() traffic.Bytes { return e.meter.Total() }

// Intervals between two checks of which peers are due for an exchange.
const (
	checkInterval = exchangeInterval / 4
	// idleCheckInterval applies to idle routers that are not hubs: half of their exchange
	// interval.
	idleCheckInterval = memberIdleInterval / 2
)

// Run exchanges reports until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	timer := time.NewTimer(e.check(ctx))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.fleet.wake:
		case <-timer.C:
		}
		timer.Reset(e.check(ctx))
	}
}

// check begins the exchanges that are due, and returns the time until the next check.
func (e *Exchanger) check(ctx context.Context) time.Duration {
	now := time.Now()
	for _, p := range e.fleet.duePeers(now) {
		go e.exchange(ctx, p)
	}
	e.fleet.publish(now)
	return e.fleet.nextCheckDelay(now)
}

// nextCheckDelay returns the time until the next check of which peers are due.
func (f *Fleet) nextCheckDelay(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plannedDelay = checkInterval
	switch {
	case f.role.direct || f.role.hub:
	case f.isIdle(now):
		f.plannedDelay = waiting.Aligned(now, idleCheckInterval)
	default:
		f.plannedDelay = f.untilHubDue(now)
	}
	return f.plannedDelay
}

// untilHubDue returns the time until a member's hub, the only peer that it asks, is due.
func (f *Fleet) untilHubDue(now time.Time) time.Duration {
	p := f.peers[f.role.ownHub]
	if p == nil || p.failures > 0 {
		return checkInterval
	}
	if left := p.askedAt.Add(f.interval(p, now)).Sub(now); left > 0 {
		return left
	}
	return checkInterval // the answer is late
}

// duePeers returns the peers to begin an exchange with now, and updates this router's role.
//
// Of two routers that receive each other's reports, the one with the smaller address begins the
// exchanges; the other one does so only after a period without a report, as the path may work in
// one direction only.
func (f *Fleet) duePeers(now time.Time) []*peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.secret == nil {
		return nil
	}
	f.detectStall(now)
	f.updateRole(now)
	var list []*peer
	lost := 0
	for _, p := range f.candidates() {
		interval := f.interval(p, now)
		if interval == 0 || !f.isDue(p, now, interval) {
			continue
		}
		if !p.alive(now) && !p.presumedAlive(now) {
			if lost++; lost > maxLostPerCheck {
				continue
			}
		}
		p.askedAt, p.asking = now, true
		p.inFlight++
		if p.member.Peers == f.role.ownHub {
			f.newRequests.Store(0)
		}
		list = append(list, p)
	}
	return list
}

// maxLostPerCheck bounds the lost routers that one check tries to reach: all routers of a large
// fleet may be lost at once.
const maxLostPerCheck = directLimit

// candidates returns the peers that this router's role may require it to ask.
func (f *Fleet) candidates() []*peer {
	if f.role.direct {
		return slices.Collect(maps.Values(f.peers))
	}
	var list []*peer
	if !f.role.hub {
		if p := f.peers[f.role.ownHub]; p != nil {
			list = append(list, p)
		}
		return list
	}
	for _, addr := range f.role.hubs {
		if p := f.peers[addr]; p != nil {
			list = append(list, p)
		}
	}
	for _, p := range f.snapshot.lost {
		if !f.role.isHub(p.member.Peers) {
			list = append(list, p)
		}
	}
	return list
}

// stallThreshold is the delay of a check beyond its plan that counts as a stall.
const stallThreshold = 9 * checkInterval

// detectStall records a stall of this router when its last check is long past: during a stall,
// missing reports say nothing about the peers.
func (f *Fleet) detectStall(now time.Time) {
	if !f.lastCheck.IsZero() && now.Sub(f.lastCheck) > max(checkInterval, f.plannedDelay)+stallThreshold {
		f.starvedAt = now
	}
	f.lastCheck = now
}

// isExpired reports whether a peer has been silent for so long that it is forgotten.
func (f *Fleet) isExpired(p *peer, now time.Time) bool {
	if p.alive(now) || now.Sub(p.addedAt) < forgetAfter || now.Sub(p.reportAt) < forgetAfter {
		return false
	}
	return !f.role.direct || p.failures > maxFailures
}

// interval returns the time between two exchanges with p; 0 when this router begins none with it.
func (f *Fleet) interval(p *peer, now time.Time) time.Duration {
	r, addr := f.role, p.member.Peers
	switch {
	case r.direct && len(f.snapshot.lost) <= directLimit:
		return max(exchangeInterval, time.Duration(len(f.peers))*intervalPerPeer)
	case r.direct && p.alive(now):
		return max(exchangeInterval, time.Duration(f.snapshot.count)*intervalPerPeer)
	case r.ownHub == addr:
		return f.ownHubInterval(p, now)
	case r.isHub(addr) && r.hub:
		if f.hasSpareCPU(p, now) {
			return max(hubFastInterval, time.Duration(len(r.hubs))*intervalPerHub)
		}
		return max(hubInterval, time.Duration(len(r.hubs))*intervalPerPeer)
	case (r.direct || r.hub) && !p.alive(now):
		// The peer may be in another part of a partitioned fleet.
		return max(hubInterval, time.Duration(len(f.snapshot.lost))*intervalPerLost)
	}
	return 0
}

// intervalPerLost lengthens the interval between two attempts to reach a lost router, so that the
// number of attempts per second does not grow with the number of lost routers.
const intervalPerLost = 50 * time.Millisecond

// ownHubInterval returns the time between two exchanges with p, this router's hub.
func (f *Fleet) ownHubInterval(p *peer, now time.Time) time.Duration {
	group := time.Duration(f.snapshot.count/len(f.role.hubs)) * intervalPerMember
	switch {
	case f.isIdle(now):
		return memberIdleInterval
	case f.newRequests.Load() > 0 && f.hasSpareCPU(p, now):
		return max(memberFastInterval, group)
	}
	return max(memberInterval, group)
}

// hasSpareCPU reports whether this router and p have enough CPU for fast exchanges. A small host
// that is CPU-starved would spend more of its CPU on reports, and a hub answers a dozen members.
func (f *Fleet) hasSpareCPU(p *peer, now time.Time) bool {
	return now.Sub(f.starvedAt) >= starvedFor && !p.starved && p.failures == 0
}

// maxFailures is the number of failed exchanges in a row after which a silent peer of a small
// fleet may be forgotten.
const maxFailures = 30

func (f *Fleet) isDue(p *peer, now time.Time, interval time.Duration) bool {
	if p.asking || p.inFlight >= maxInFlight {
		return false
	}
	if p.failures > 0 {
		return now.Sub(p.askedAt) >= max(interval, min(maxRetryInterval, interval<<min(p.failures, 8)))
	}
	if f.self.Peers > p.member.Peers && f.role.ownHub != p.member.Peers && now.Sub(p.reportAt) < 3*interval {
		return false
	}
	return now.Sub(p.askedAt) >= interval
}

func (e *Exchanger) exchange(ctx context.Context, p *peer) {
	f := e.fleet
	addr, withOthers := f.begin(p)
	req := f.request(p, withOthers)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp := new(Report)
	sentAt := time.Now()
	a := &attempt{peer: p}
	overdue := time.AfterFunc(overdueAfter(&req), func() { f.markOverdue(a) })
	err := e.post(ctx, addr, Path, req, resp, maxMessageBytes)
	overdue.Stop()
	f.finish(a, err)
	if err == nil {
		f.handleReport(resp, sentAt)
	}
}

// overdueAfter returns the time after which the exchange that req begins is overdue.
//
// A CPU-starved router reads an answer long after it has arrived. With the usual timeout hardly any
// exchange would succeed there, and the router would consider its peers lost exactly while it must
// not.
func overdueAfter(req *Report) time.Duration {
	if req.CPUStarved {
		return starvedTimeout
	}
	return exchangeTimeout
}

// recordFailure counts an exchange with p that failed or is overdue.
func (f *Fleet) recordFailure(p *peer, err error) {
	p.failures++
	if f.role.ownHub == p.member.Peers {
		f.wakeUp() // another hub may answer
	}
	if p.failures == 1 && !p.reportAt.IsZero() {
		f.log.WithFields(log.Fields{"event": "peer_missed", "peer": p.member.Name, "addr": p.member.Peers}).WithError(err).Warn("router does not answer")
	}
}
