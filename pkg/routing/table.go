package routing

import (
	"sort"
	"strings"
	"time"
)

// Table is a configuration made ready for look-ups.
type Table struct {
	Config    *Config
	byHost    map[string][]*Route
	byKey     map[string]*Organisation
	services  map[string]*Service
	maxPauses map[string]time.Duration
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

// Match finds the route with the longest prefix that begins path, which is taken as the
// caller sent it: cleaning it would let two spellings of one path take different routes.
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

// Organisation finds who holds key.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// HasOrganisations reports whether requests need keys.
func (t *Table) HasOrganisations() bool { return len(t.Config.Organisations) > 0 }

// addMaxPause notes the pause that a route allows its streams, for each service that serves it.
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

// MaxPause is the shortest pause between two events that any route to a service allows; 0
// when none sets one.
func (t *Table) MaxPause(service string) time.Duration { return t.maxPauses[service] }

// Service finds a service by name.
func (t *Table) Service(name string) *Service { return t.services[name] }
