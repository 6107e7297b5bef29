package routing

import (
	"sort"
	"strings"
	"time"
)

// Table indexes a configuration for lookups.
type Table struct {
	Config    *Config
	byHost    map[string][]*Route
	byKey     map[string]*Organisation
	services  map[string]*Service
	maxPauses map[string]time.Duration
	// longestStream is the longest timeout of the routes that carry streams, openEndedStreams whether one
	// of them has none.
	longestStream    time.Duration
	openEndedStreams bool
	// shortestObjective is the shortest objective of the routes that carry streams; 0 without one.
	shortestObjective time.Duration
}

// NewTable indexes c, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		Config:    c,
		byHost:    make(map[string][]*Route),
		byKey:     make(map[string]*Organisation),
		services:  make(map[string]*Service, len(c.Services)),
		maxPauses: make(map[string]time.Duration),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.addMaxPause(r)
		t.addStreamTimeout(r)
		t.addStreamObjective(r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Organisations {
		org := &c.Organisations[i]
		for _, key := range org.Keys {
			t.byKey[key] = org
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route with the longest prefix of path; nil without one. The path is matched as
// the caller sent it: normalising it would let two spellings of one path take different routes.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that holds an API key; nil for an unknown key.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// HasOrganisations reports whether requests need keys.
func (t *Table) HasOrganisations() bool { return len(t.Config.Organisations) > 0 }

// addMaxPause records the longest pause that a route allows, for each of its services.
func (t *Table) addMaxPause(r *Route) {
	if r.MaxPause <= 0 {
		return
	}
	for _, target := range r.Targets {
		if shortest, ok := t.maxPauses[target.Service]; !ok || r.MaxPause < shortest {
			t.maxPauses[target.Service] = r.MaxPause
		}
	}
}

// MaxPause returns the smallest MaxPause of the routes to a service; 0 when none sets it.
func (t *Table) MaxPause(service string) time.Duration { return t.maxPauses[service] }

// addStreamTimeout records the timeout of a route that carries streams.
func (t *Table) addStreamTimeout(r *Route) {
	if r.Kind == Stream {
		t.longestStream = max(t.longestStream, r.Timeout)
		t.openEndedStreams = t.openEndedStreams || r.Timeout <= 0
	}
}

// addStreamObjective records the objective of a route that carries streams.
func (t *Table) addStreamObjective(r *Route) {
	if r.Kind == Stream && r.Objective > 0 && (t.shortestObjective == 0 || r.Objective < t.shortestObjective) {
		t.shortestObjective = r.Objective
	}
}

// ShortestStreamObjective returns the shortest objective of the routes that carry streams; 0 without
// one.
func (t *Table) ShortestStreamObjective() time.Duration { return t.shortestObjective }

// LongestStream returns the longest timeout of the routes that carry streams; for one without a timeout
// it is otherwise.
func (t *Table) LongestStream(otherwise time.Duration) time.Duration {
	if t.openEndedStreams {
		return max(t.longestStream, otherwise)
	}
	return t.longestStream
}

// Service returns a service by name; nil for an unknown one.
func (t *Table) Service(name string) *Service { return t.services[name] }
