package upstream

import "sort"

// Set is an immutable set of instances, indexed by ID and by service.
type Set struct {
	byID      map[ID]*Instance
	byService map[string][]*Instance
}

// NewSet returns the set of the instances in list. Of several entries with one ID the last one
// counts.
func NewSet(list []Instance) *Set {
	s := &Set{byID: make(map[ID]*Instance, len(list)), byService: make(map[string][]*Instance)}
	for i := range list {
		s.byID[list[i].ID] = &list[i]
	}
	for _, in := range s.byID {
		s.byService[in.Service] = append(s.byService[in.Service], in)
	}
	for _, members := range s.byService {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
	return s
}

// Apply returns the set after changes, and whether it differs. An unchanged set is returned as it
// is.
func (s *Set) Apply(changes []Change) (*Set, bool) {
	differs := false
	next := make(map[ID]Instance, len(s.byID))
	for id, in := range s.byID {
		next[id] = *in
	}
	for _, c := range changes {
		old, known := next[c.Instance.ID]
		switch {
		case c.Gone && known:
			delete(next, c.Instance.ID)
			differs = true
		case !c.Gone && (!known || old != c.Instance):
			next[c.Instance.ID] = c.Instance
			differs = true
		}
	}
	if !differs {
		return s, false
	}
	list := make([]Instance, 0, len(next))
	for _, in := range next {
		list = append(list, in)
	}
	return NewSet(list), true
}

// Get returns the instance with an ID; nil when there is none.
func (s *Set) Get(id ID) *Instance { return s.byID[id] }

// IsCurrent reports whether life is the current one of its instance.
func (s *Set) IsCurrent(life Life) bool {
	in := s.byID[life.ID]
	return in != nil && in.State != Unusable && in.Life() == life
}

// HasZone reports whether any instance is in zone.
func (s *Set) HasZone(zone string) bool {
	for _, in := range s.byID {
		if in.Zone == zone {
			return true
		}
	}
	return false
}

// ByService returns the instances of a service, ordered by ID. Callers must not change the list.
func (s *Set) ByService(service string) []*Instance { return s.byService[service] }

// List returns all instances, in no particular order.
func (s *Set) List() []Instance {
	list := make([]Instance, 0, len(s.byID))
	for _, in := range s.byID {
		list = append(list, *in)
	}
	return list
}
