package resource

import (
	"bytes"
	"encoding/json"
	"sort"
)

// All lists the resources by kind, then by name. The caller must not change them.
func (s *Snapshot) All() []Resource {
	var all []Resource
	for _, k := range Kinds() {
		all = append(all, s.OfKind(k)...)
	}
	return all
}

// OfKind lists the resources of one kind by name. The caller must not change them.
func (s *Snapshot) OfKind(k Kind) []Resource {
	var list []Resource
	switch k {
	case KindOrganisation:
		list = pointers[Organisation](s.Organisations)
	case KindPool:
		list = pointers[Pool](s.Pools)
	case KindUpstream:
		list = pointers[Upstream](s.Upstreams)
	case KindRoute:
		list = pointers[Route](s.Routes)
	case KindOrder:
		list = pointers[Order](s.Orders)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].meta().Name < list[j].meta().Name })
	return list
}

// Get returns one resource, or nil.
func (s *Snapshot) Get(ref Ref) Resource {
	for _, r := range s.OfKind(ref.Kind) {
		if r.meta().Name == ref.Name {
			return r
		}
	}
	return nil
}

func pointers[T any, P interface {
	*T
	Resource
}](list []T) []Resource {
	out := make([]Resource, len(list))
	for i := range list {
		out[i] = P(&list[i])
	}
	return out
}

func (s *Snapshot) add(r Resource) {
	switch v := r.(type) {
	case *Organisation:
		s.Organisations = append(s.Organisations, *v)
	case *Pool:
		s.Pools = append(s.Pools, *v)
	case *Upstream:
		s.Upstreams = append(s.Upstreams, *v)
	case *Route:
		s.Routes = append(s.Routes, *v)
	case *Order:
		s.Orders = append(s.Orders, *v)
	}
}

// SameContent says whether a and b differ in nothing but their versions. It
// compares encodings, so that an empty list equals one left out.
func SameContent(a, b Resource) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	left, errLeft := json.Marshal(WithVersion(a, 0))
	right, errRight := json.Marshal(WithVersion(b, 0))
	return errLeft == nil && errRight == nil && RefOf(a) == RefOf(b) && bytes.Equal(left, right)
}
