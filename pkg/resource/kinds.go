package resource

// Resource is any declared resource: a pointer to one of the five types.
type Resource interface {
	// ResourceKind names the kind.
	ResourceKind() Kind
	meta() *Meta
	copy() Resource
}

// Ref names one resource.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String gives Kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

func (m *Meta) meta() *Meta { return m }

// ResourceKind implements Resource.
func (*Organisation) ResourceKind() Kind { return KindOrganisation }

// ResourceKind implements Resource.
func (*Pool) ResourceKind() Kind { return KindPool }

// ResourceKind implements Resource.
func (*Upstream) ResourceKind() Kind { return KindUpstream }

// ResourceKind implements Resource.
func (*Route) ResourceKind() Kind { return KindRoute }

// ResourceKind implements Resource.
func (*Order) ResourceKind() Kind { return KindOrder }

func (o *Organisation) copy() Resource { c := *o; return &c }
func (p *Pool) copy() Resource         { c := *p; return &c }
func (u *Upstream) copy() Resource     { c := *u; return &c }
func (r *Route) copy() Resource        { c := *r; return &c }
func (o *Order) copy() Resource        { c := *o; return &c }

// Kinds lists all kinds in the order in which they are shown.
func Kinds() []Kind {
	return []Kind{KindOrganisation, KindPool, KindUpstream, KindRoute, KindOrder}
}

// New returns an empty resource of a kind, or nil when the kind is unknown.
func New(k Kind) Resource {
	switch k {
	case KindOrganisation:
		return new(Organisation)
	case KindPool:
		return new(Pool)
	case KindUpstream:
		return new(Upstream)
	case KindRoute:
		return new(Route)
	case KindOrder:
		return new(Order)
	default:
		return nil
	}
}

// RefOf names r.
func RefOf(r Resource) Ref { return Ref{Kind: r.ResourceKind(), Name: r.meta().Name} }

// VersionOf gives the configuration version that last changed r.
func VersionOf(r Resource) uint64 { return r.meta().Version }

// WithVersion returns a shallow copy of r with another version.
func WithVersion(r Resource, version uint64) Resource {
	c := r.copy()
	c.meta().Version = version
	return c
}
