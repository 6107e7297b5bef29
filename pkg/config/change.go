package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Change is one operator's write.
type Change struct {
	// OpID makes the write recognisable when it is sent again; required.
	OpID string
	Ops  []resource.Op
	// Prune deletes every resource that Ops doesn't put.
	Prune bool
	// Base is the configuration version that the operator looked at; nil doesn't care.
	Base *uint64
}

// Result says what a write did.
type Result struct {
	// Version is the configuration version that holds the change.
	Version uint64
	// Deltas is what changed; empty when nothing did or when the write was Replayed.
	Deltas []resource.Delta
	// Replayed says that an earlier try of the same operation had been accepted.
	Replayed bool
	// Snapshot is the configuration after the change; nil when Replayed.
	Snapshot *resource.Snapshot
}

type digestOp struct {
	Ref    resource.Ref      `json:"ref"`
	Put    resource.Document `json:"put"`
	Expect *uint64           `json:"expect"`
}

type digestChange struct {
	Ops   []digestOp `json:"ops"`
	Prune bool       `json:"prune"`
	Base  *uint64    `json:"base"`
}

func (c Change) digest() (string, error) {
	d := digestChange{Prune: c.Prune, Base: c.Base}
	for _, op := range c.Ops {
		d.Ops = append(d.Ops, digestOp{op.Ref, resource.Document{Resource: op.Put}, op.Expect})
	}
	b, err := json.Marshal(d)
	if err != nil {
		return "", errors.Annotate(err, "digest of the change")
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// apply works out the snapshot after c, without writing it.
func (c Change) apply(s *resource.Snapshot) (*resource.Snapshot, error) {
	if c.Base != nil && *c.Base != s.Version {
		return nil, &ConflictError{Version: s.Version}
	}
	next, err := s.Apply(c.pruned(s))
	var stale *resource.StaleError
	if errors.As(err, &stale) {
		return nil, &ConflictError{Version: s.Version, Stale: stale}
	}
	return next, err
}

func (c Change) pruned(s *resource.Snapshot) []resource.Op {
	if !c.Prune {
		return c.Ops
	}
	kept := make(map[resource.Ref]bool)
	for _, op := range c.Ops {
		kept[op.Ref] = true
	}
	ops := append([]resource.Op(nil), c.Ops...)
	for _, r := range s.All() {
		if ref := resource.RefOf(r); !kept[ref] {
			ops = append(ops, resource.Op{Ref: ref})
		}
	}
	return ops
}
