package daemon

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// leavingHold is how long an upstream gets nothing after a response of it that says that it leaves. Responses don't
// identify its process, so one that has started again under its name is told from the old one by that time.
const leavingHold = time.Minute

// notices knows what upstreams have said about themselves in their responses to this router. It is safe for
// concurrent use.
type notices struct {
	health *upstream.Health
	log    log.Interface

	mu sync.Mutex
	// leavingUntil is when an upstream that leaves may be tried again.
	leavingUntil map[string]time.Time
	// faults holds the last unreadable notice of each upstream.
	faults map[string]string
}

func newNotices(l log.Interface) *notices {
	return &notices{health: upstream.NewHealth(), log: l, leavingUntil: make(map[string]time.Time), faults: make(map[string]string)}
}

// lifeOf stands for an upstream in notices.health.
func lifeOf(name string) upstream.Life { return upstream.Life{ID: upstream.ID(name)} }

// observe records what a response says about its upstream.
func (n *notices) observe(name string, of upstream.Notice, now time.Time) {
	line := n.log.WithField("event", "upstream_notice").WithField("upstream", name)
	if of.Fault != "" && n.isNewFault(name, of.Fault) {
		line.WithField("fault", of.Fault).Warn("what a response says about its upstream can't be read")
	}
	if of.Leaving && n.hold(name, now) {
		line.Info("upstream announced that it leaves")
	}
	_, pending := n.health.BackoffUntil(lifeOf(name), now)
	if of.Backoff > 0 && n.health.RequestBackoff(lifeOf(name), of.Backoff, now) && !pending {
		line.WithField("for_ms", of.Backoff.Milliseconds()).Info("upstream wants no requests for a time")
	}
}

// isNewFault reports whether an upstream's unreadable notice differs from its last one: it may come with each response.
func (n *notices) isNewFault(name, fault string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.faults[name] == fault
	n.faults[name] = fault
	return !known
}

// hold takes an upstream out of use, and reports whether it was in use.
func (n *notices) hold(name string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	inUse := !now.Before(n.leavingUntil[name])
	n.leavingUntil[name] = now.Add(leavingHold)
	return inUse
}

// usable reports whether an upstream has said nothing that speaks against a request now.
func (n *notices) usable(name string, now time.Time) bool {
	n.mu.Lock()
	leaves := now.Before(n.leavingUntil[name])
	n.mu.Unlock()
	_, pending := n.health.BackoffUntil(lifeOf(name), now)
	return !leaves && !pending
}
