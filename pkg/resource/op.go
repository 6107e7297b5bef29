package resource

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrStale: a resource isn't at the version that the writer expected.
const ErrStale = errors.ConstError("resource changed meanwhile")

// Op replaces or deletes one resource.
type Op struct {
	Ref Ref
	// Put is the new content; nil deletes the resource.
	Put Resource
	// Expect is the version that the resource must have (0: must not exist); nil doesn't care.
	Expect *uint64
}

// PutOp replaces r. A version in r is the one expected; without one the write doesn't care.
func PutOp(r Resource) Op {
	op := Op{Ref: RefOf(r), Put: r}
	if v := VersionOf(r); v != 0 {
		op.Expect = &v
	}
	return op
}

// StaleError names the resource that stood in the way and what it is now.
type StaleError struct {
	Ref      Ref
	Expected uint64
	// Current is nil when the resource doesn't exist.
	Current Resource
}

// Error names the resource and both versions.
func (e *StaleError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("%s: expected version %d, but it doesn't exist", e.Ref, e.Expected)
	}
	return fmt.Sprintf("%s: expected version %d, but it has version %d", e.Ref, e.Expected, VersionOf(e.Current))
}

// Is makes errors.Is(err, ErrStale) true.
func (e *StaleError) Is(target error) bool { return target == ErrStale }

// Apply returns the snapshot after ops, at the next version and validated. When ops
// change nothing it returns s itself, so that applying twice makes no new version.
// Its errors are *StaleError and *Invalid; s is never changed.
func (s *Snapshot) Apply(ops []Op) (*Snapshot, error) {
	current := make(map[Ref]Resource)
	for _, r := range s.All() {
		current[RefOf(r)] = r
	}
	if err := checkExpected(current, ops); err != nil {
		return nil, err
	}
	if !change(current, ops, s.Version+1) {
		return s, nil
	}
	next := rebuild(current, s.Version+1)
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return next, nil
}

func checkExpected(current map[Ref]Resource, ops []Op) error {
	for _, op := range ops {
		if op.Expect == nil {
			continue
		}
		have, ok := current[op.Ref]
		var version uint64
		if ok {
			version = VersionOf(have)
		}
		if version != *op.Expect || (ok && *op.Expect == 0) {
			return &StaleError{Ref: op.Ref, Expected: *op.Expect, Current: have}
		}
	}
	return nil
}

func change(current map[Ref]Resource, ops []Op, version uint64) bool {
	changed := false
	for _, op := range ops {
		have, ok := current[op.Ref]
		switch {
		case op.Put == nil && ok:
			delete(current, op.Ref)
			changed = true
		case op.Put != nil && (!ok || !SameContent(have, op.Put)):
			current[op.Ref] = WithVersion(op.Put, version)
			changed = true
		}
	}
	return changed
}

func rebuild(current map[Ref]Resource, version uint64) *Snapshot {
	unsorted := &Snapshot{Version: version}
	for _, r := range current {
		unsorted.add(r)
	}
	next := &Snapshot{Version: version}
	for _, r := range unsorted.All() {
		next.add(r)
	}
	return next
}
