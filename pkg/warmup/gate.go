package warmup

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxWarmup bounds the reported warm-up of an upstream until its service is known.
const maxWarmup = 10 * time.Minute

// Gate decides to which upstreams this router may send a request.
type Gate struct {
	roster func(now time.Time) Roster
	// current reports whether the list of upstreams is up to date.
	current func(now time.Time) bool
	log     log.Interface
	// epoch is the reference of warmBy and lastRestored, before any restoration that still matters.
	epoch time.Time

	// currentView is the latest view of the fleet.
	currentView atomic.Pointer[view]
	// warmBy is when all upstreams are warm according to their entries, lastRestored when a zone
	// was last restored, in nanoseconds since epoch.
	warmBy, lastRestored atomic.Int64

	mu     sync.Mutex
	factor float64
	slack  float64
	set    *upstream.Set
	states map[upstream.Life]*warmupState
	// restored holds the time of each zone's last restoration.
	restored map[string]time.Time
}

// NewGate returns a gate without upstreams. roster returns the routers that upstreams are assigned
// to, current reports whether the list of upstreams is up to date.
func NewGate(roster func(now time.Time) Roster, current func(now time.Time) bool, l log.Interface) *Gate {
	return &Gate{roster: roster, current: current, log: l, epoch: time.Now().Add(-maxWarmup), factor: 1, set: upstream.NewSet(nil), states: make(map[upstream.Life]*warmupState),
		restored: make(map[string]time.Time)}
}

// SetLimit sets the limit for a cold upstream: factor times what its service declares, plus slack
// requests per second.
func (g *Gate) SetLimit(factor, slack float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.factor, g.slack = factor, slack
}

// SetUpstreams sets the list of upstreams.
func (g *Gate) SetUpstreams(set *upstream.Set, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cold := 0
	lives := make(map[upstream.Life]*warmupState, len(g.states))
	for _, in := range set.List() {
		key := in.Life()
		known := g.states[key]
		if known == nil || g.warmupChanged(&in) {
			known = g.recordReport(known, &in, now)
			cold += g.countCold(known, now)
		}
		lives[key] = known
	}
	g.set, g.states = set, lives
	if cold > 0 {
		g.log.WithFields(log.Fields{"event": "upstreams_cold", "upstreams": cold}).Info("upstreams are cold")
	}
}

// warmupChanged reports whether an entry's warm-up report differs from the previous one.
func (g *Gate) warmupChanged(in *upstream.Instance) bool {
	before := g.set.Get(in.ID)
	return before == nil || before.WarmupTold != in.WarmupTold || before.WarmupLeft != in.WarmupLeft
}

// recordReport records an entry's warm-up report.
func (g *Gate) recordReport(known *warmupState, in *upstream.Instance, now time.Time) *warmupState {
	if known == nil {
		known = new(warmupState)
	}
	known.reportedAt, known.reported, known.reportedLeft = now, in.WarmupTold, in.WarmupLeft
	return known
}

// countCold returns 1 for an upstream that may be cold, and extends warmBy accordingly.
func (g *Gate) countCold(l *warmupState, now time.Time) int {
	left := l.remaining(maxWarmup)
	if left <= 0 {
		return 0
	}
	g.warmBy.Store(max(g.warmBy.Load(), int64(now.Add(left).Sub(g.epoch))))
	return 1
}

// MarkRestored records that the evacuation of zones ended at the given time. Their upstreams are
// cold from then on whatever their entries say, as entries from before may be read later.
func (g *Gate) MarkRestored(zones []string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for zone, before := range g.restored {
		if at.Sub(before) >= maxWarmup {
			delete(g.restored, zone)
		}
	}
	for _, zone := range zones {
		if at.After(g.restored[zone]) {
			g.restored[zone] = at
		}
	}
	g.lastRestored.Store(max(g.lastRestored.Load(), int64(at.Sub(g.epoch))))
	cold := 0
	for _, in := range g.set.List() {
		if slices.Contains(zones, in.Zone) {
			cold++
		}
	}
	g.log.WithFields(log.Fields{"event": "upstreams_cold", "upstreams": cold, "zones": zones}).Info("upstreams of restored zones count as cold")
}

// allWarm reports whether no upstream is cold.
func (g *Gate) allWarm(s *routing.Service, now time.Time) bool {
	if s.ColdPerSecond <= 0 || s.Warmup <= 0 {
		return true
	}
	at := int64(now.Sub(g.epoch))
	restored := g.lastRestored.Load()
	return at >= g.warmBy.Load() && (restored == 0 || at >= restored+int64(s.Warmup))
}

// IsCold reports whether an upstream of a service is cold.
func (g *Gate) IsCold(in *upstream.Instance, s *routing.Service, now time.Time) bool {
	if s == nil || g.allWarm(s, now) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, found := g.restored[in.Zone]; found && now.Before(at.Add(s.Warmup)) {
		return true
	}
	l := g.states[in.Life()]
	return l != nil && l.cold(s.Warmup, now)
}

// Allows reports whether this router may send a request to an upstream of a service.
func (g *Gate) Allows(in *upstream.Instance, s *routing.Service, now time.Time) bool {
	return g.check(in, s, now, false)
}

// Acquire reports the same just before the request is sent, and counts the request.
func (g *Gate) Acquire(in *upstream.Instance, s *routing.Service, now time.Time) bool {
	return g.check(in, s, now, true)
}

// partitioned reports whether the router gets no updates of the list of upstreams and has lost
// other routers, which may still get them. Upstreams that it considers warm may then be cold.
func (v *view) partitioned() bool { return !v.current && len(v.roster.Lost) > 0 }

// viewLifetime is how long a view of the fleet is used.
const viewLifetime = 20 * time.Millisecond

// view is the state of the fleet that determines the assignment of upstreams, at one moment.
type view struct {
	at      time.Time
	roster  Roster
	current bool
}

// viewAt returns the current view. It is taken without the gate's lock, because the functions
// roster and current take other locks.
func (g *Gate) viewAt(now time.Time) *view {
	v := g.currentView.Load()
	if v == nil || now.Sub(v.at) >= viewLifetime || now.Before(v.at) {
		before := v
		v = &view{at: now, roster: g.roster(now), current: g.current(now)}
		g.currentView.Store(v)
		if before != nil && before.partitioned() != v.partitioned() {
			g.log.WithFields(log.Fields{"event": "cut_off", "cut_off": v.partitioned(), "known": v.roster.Known, "lost": len(v.roster.Lost)}).
				Info("access to the list of upstreams changed while routers are lost")
		}
	}
	return v
}

func (g *Gate) check(in *upstream.Instance, s *routing.Service, now time.Time, count bool) bool {
	if s == nil || s.ColdPerSecond <= 0 {
		return true
	}
	cold, view := g.IsCold(in, s, now), g.viewAt(now)
	if !cold && !view.partitioned() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	key := in.Life()
	l := g.states[key]
	if l == nil {
		return false // the list has changed in the meantime
	}
	p := splitLimit(int(s.ColdPerSecond*g.factor+g.slack), view.roster.Known)
	if !l.allows(key, view, p, cold, now) {
		return false
	}
	if count {
		l.sent = append(l.sent, now)
	}
	return true
}
