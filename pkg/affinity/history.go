package affinity

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	// maxListAge is the age of the list of upstreams up to which a router is sure that no further
	// version serves: watches renew it within two seconds.
	maxListAge = 2500 * time.Millisecond
	// openAfter is how long after a version was first listed it begins streams at the latest. A router
	// whose list lacks the version claims no sole version any more by then; the second half covers what
	// a router was told while its report was on its way.
	openAfter = 2 * maxListAge
)

// history knows which software versions of services served lately.
type history struct {
	log  log.Interface
	life *streamLife

	mu       sync.Mutex
	services map[string]map[string]*version
	// watchedSince is since when no version can have served without being known here; sinceFounding says that
	// this holds since the fleet first started.
	watchedSince  time.Time
	sinceFounding bool
	// currentAt is when the versions were last known completely. firstListAt is when the first list came, and
	// uncovered says that this one was from before the router started.
	currentAt, firstListAt time.Time
	uncovered              bool
	// lists counts the lists that were taken over.
	lists uint64
	// closed is the number of listed versions that aren't open.
	closed atomic.Int32
	// register is what is known of the register in the store; waiting is signalled when a version isn't open.
	register registerState
	waiting  chan struct{}
}

func newHistory(life *streamLife, l log.Interface) *history {
	return &history{log: l, life: life, services: make(map[string]map[string]*version), waiting: make(chan struct{}, 1)}
}

// setList takes over a new list of upstreams.
func (h *history) setList(set *upstream.Set, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.watchedSince.IsZero() {
		h.watchedSince, h.firstListAt = now, now
	}
	listed := h.markListed(set, now)
	for service, versions := range h.services {
		for name, v := range versions {
			isListed := listed[v]
			if v.listed != isListed {
				h.logListed(service, name, isListed)
			}
			if v.listed || isListed {
				v.lastListed = now
			}
			v.listed, v.open = isListed, v.open && isListed
			if !h.servedLately(v, now) {
				delete(versions, name)
			}
		}
	}
	h.openSole(now)
}

// get returns what is known of a version, a new entry if there is none.
func (h *history) get(service, name string, now time.Time) *version {
	versions := h.services[service]
	if versions == nil {
		versions = make(map[string]*version)
		h.services[service] = versions
	}
	v := versions[name]
	if v == nil {
		v = &version{since: now}
		versions[name] = v
	}
	return v
}

// openSole opens versions without another one beside them lately: no router can take another version
// for the sole one. A version that took another one's place from one list to the next waits like one
// that came beside it.
func (h *history) openSole(now time.Time) {
	closed := int32(0)
	for _, versions := range h.services {
		served := 0
		for _, v := range versions {
			if v.listed || now.Sub(v.lastListed) < openAfter {
				served++
			}
		}
		for _, v := range versions {
			v.open = v.listed && (v.open || served == 1 && h.mayOpen(v, now))
			if v.listed && !v.open {
				closed++
			}
		}
	}
	h.closed.Store(closed)
	if closed > 0 {
		select {
		case h.waiting <- struct{}{}:
		default:
		}
	}
}

// openKnown opens the versions that all other routers know, or that have been listed for openAfter.
func (h *history) openKnown(view View, now time.Time) {
	if h.closed.Load() == 0 {
		return
	}
	before := h.listCount()
	rev, peers := view.ListRevision(), view.Peers(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lists != before {
		return // the revision may be one from before a version came
	}
	for service, versions := range h.services {
		for name, v := range versions {
			if !v.listed || v.open {
				continue
			}
			if v.revision == 0 {
				v.revision = rev
			}
			known := peers.Complete && peers.Floor >= v.revision
			if (known || now.Sub(v.since) >= openAfter) && h.mayOpen(v, now) {
				v.open = true
				h.log.WithFields(log.Fields{"event": "software_opened", "service": service, "software": name, "known_to_all": known, "after_ms": now.Sub(v.since).Milliseconds()}).Info("streams may begin at a software version")
			}
		}
	}
	h.openSole(now)
}

// isOpen reports whether streams may begin at a version.
func (h *history) isOpen(service, name string) bool {
	if h.closed.Load() == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.services[service][name]
	return v != nil && v.open
}

// sole returns the only version of a service that served within the window, if there is just one and
// no other one can have served unknown.
func (h *history) sole(service string, now time.Time) (name string, ok bool) {
	name, doubt := h.soleOrDoubt(service, now)
	return name, doubt == NoDoubt
}

// soleOrDoubt returns the same, or why there is none.
func (h *history) soleOrDoubt(service string, now time.Time) (string, Doubt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.watchedLong(now) {
		return "", ShortWatch
	}
	name, doubt := "", NoVersion
	for candidate, v := range h.services[service] {
		if !h.servedLately(v, now) {
			continue
		}
		if doubt == NoDoubt {
			return "", Several
		}
		name, doubt = candidate, NoDoubt
	}
	return name, doubt
}

// names returns the versions of a service that are known.
func (h *history) names(service string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]string, 0, len(h.services[service]))
	for name := range h.services[service] {
		list = append(list, name)
	}
	return list
}

// statement returns what this router tells others; listAge is the age of its list.
func (h *history) statement(listAge time.Duration, now time.Time) Statement {
	h.mu.Lock()
	defer h.mu.Unlock()
	var s Statement
	if !h.watchedSince.IsZero() && !h.currentAt.IsZero() {
		s.SinceFounding, s.WatchedMs = h.sinceFounding, now.Sub(h.watchedSince).Milliseconds()
		s.CurrentAgeMs = max(0, now.Sub(h.currentAt).Milliseconds())
	}
	for service, versions := range h.services {
		for name, v := range versions {
			age := now.Sub(v.lastListed)
			if v.listed {
				age = listAge
			}
			if h.servedLately(v, now) {
				s.Versions = append(s.Versions, SeenVersion{Service: service, Version: name, AgeMs: max(0, age.Milliseconds()), Open: v.open})
			}
		}
	}
	slices.SortFunc(s.Versions, func(a, b SeenVersion) int {
		if a.Service != b.Service {
			return strings.Compare(a.Service, b.Service)
		}
		return strings.Compare(a.Version, b.Version)
	})
	s.Versions = s.Versions[:min(len(s.Versions), maxSeenVersions)]
	return s
}

// merge takes over a statement that was made at createdAt or later. Times are rounded so that none
// gets later, or longer, by being told from router to router.
func (h *history) merge(s Statement, createdAt, now time.Time) {
	if len(s.Versions) > maxSeenVersions {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, seen := range s.Versions {
		last := createdAt.Add(-time.Duration(seen.AgeMs) * time.Millisecond)
		if !seen.valid() || h.life.over(now.Sub(last)) {
			continue
		}
		v := h.get(seen.Service, seen.Version, now)
		if last.After(v.lastListed) {
			v.lastListed = last
		}
		v.open = v.open || seen.Open && v.listed
	}
	h.mergeWatch(s, createdAt, now)
	h.openSole(now)
}

// several reports whether some service has had several versions within the window.
func (h *history) several(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, versions := range h.services {
		if h.countRecent(versions, now) > 1 {
			return true
		}
	}
	return false
}

// servedLately reports whether streams that began at a version may still be resumed.
func (h *history) servedLately(v *version, now time.Time) bool {
	return v.listed || !h.life.over(now.Sub(v.lastListed))
}

// recent returns the identities of recent versions, and for each whether its service has several.
func (h *history) recent(now time.Time) map[VersionID]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[VersionID]bool)
	for service, versions := range h.services {
		several := h.countRecent(versions, now) > 1
		for name, v := range versions {
			if h.servedLately(v, now) {
				all[VersionIDOf(service, name)] = several
			}
		}
	}
	return all
}

func (h *history) countRecent(versions map[string]*version, now time.Time) int {
	n := 0
	for _, v := range versions {
		if h.servedLately(v, now) {
			n++
		}
	}
	return n
}
