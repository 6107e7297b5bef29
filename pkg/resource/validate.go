package resource

import (
	"math"
	"regexp"
)

// Limits of single fields.
const (
	maxWeight   = 1e6
	maxSlots    = 4096
	maxCellSize = 4096
	maxAhead    = 16
	maxQueued   = 1 << 20
	maxText     = 128
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	modelPattern = regexp.MustCompile(`^[!-~]{1,128}$`)
)

// Validate checks the whole snapshot: each field, each reference, and what must be
// unique. Its error is *Invalid and holds every fault.
func (s *Snapshot) Validate() error {
	v := &validator{pools: make(map[string]PoolKind), upstreams: make(map[string]bool)}
	v.names(s)
	for i := range s.Pools {
		v.pools[s.Pools[i].Name] = s.Pools[i].Kind
	}
	for i := range s.Upstreams {
		v.upstreams[s.Upstreams[i].Name] = true
	}
	v.organisations(s.Organisations)
	v.poolFields(s.Pools)
	v.upstreamFields(s.Upstreams)
	v.routes(s.Routes)
	v.orders(s.Orders)
	if len(v.fields) > 0 {
		return &Invalid{Fields: v.fields}
	}
	return nil
}

type validator struct {
	fields    []FieldError
	pools     map[string]PoolKind
	upstreams map[string]bool
}

func (v *validator) add(r Resource, field, text string) {
	ref := RefOf(r)
	v.fields = append(v.fields, FieldError{Kind: ref.Kind, Name: ref.Name, Field: field, Text: text})
}

func (v *validator) names(s *Snapshot) {
	seen := make(map[Ref]bool)
	for _, r := range s.All() {
		ref := RefOf(r)
		if !namePattern.MatchString(ref.Name) {
			v.add(r, "name", "must be 1 to 63 letters, digits, dots, dashes or underscores, and start with a letter or digit")
		}
		if seen[ref] {
			v.add(r, "name", "is used twice")
		}
		seen[ref] = true
	}
}

// between reports a number outside low..high; NaN is outside of everything.
func (v *validator) between(r Resource, field string, value, low, high float64, text string) {
	if math.IsNaN(value) || value < low || value > high {
		v.add(r, field, text)
	}
}

func (v *validator) organisations(list []Organisation) {
	owners := make(map[string]string)
	for i := range list {
		o := &list[i]
		v.between(o, "weight", o.Weight, 0, maxWeight, "must be over 0 and at most 1000000")
		v.between(o, "maxQueued", float64(o.MaxQueued), 0, maxQueued, "must be from 0 to 1048576")
		for _, h := range o.KeyHashes {
			if !hashPattern.MatchString(h) {
				v.add(o, "keyHashes", "must be SHA-256 sums of 64 lower-case hex digits")
				continue
			}
			if owner, taken := owners[h]; taken {
				v.add(o, "keyHashes", "the sum "+h[:8]+"… is used by organisation "+owner+" too")
			}
			owners[h] = o.Name
		}
	}
}

func (v *validator) poolFields(list []Pool) {
	for i := range list {
		p := &list[i]
		if p.Kind != PoolModel && p.Kind != PoolService {
			v.add(p, "poolKind", "must be model or service")
		}
		v.between(p, "cellSize", float64(p.CellSize), 0, maxCellSize, "must be from 0 to 4096")
		v.between(p, "grantAhead", float64(p.GrantAhead), 0, maxAhead, "must be from 0 to 16")
		v.between(p, "callUnits", p.CallUnits, 0, maxWeight, "must be from 0 to 1000000")
	}
}

func (v *validator) orders(list []Order) {
	taken := make(map[string]string)
	for i := range list {
		o := &list[i]
		if !v.upstreams[o.Upstream] {
			v.add(o, "upstream", "upstream "+quote(o.Upstream)+" doesn't exist")
		}
		if other, ok := taken[o.Upstream]; ok {
			v.add(o, "upstream", "order "+other+" is for the same upstream")
		}
		taken[o.Upstream] = o.Name
		v.length(o, "adapter", o.Adapter)
		v.length(o, "revision", o.Revision)
		v.length(o, "role", o.Role)
	}
}

func (v *validator) length(r Resource, field, text string) {
	if len(text) > maxText {
		v.add(r, field, "must have at most 128 bytes")
	}
}
