// Package platform holds the interfaces of the operators' platform: one for each
// service, so that a real platform needs an adapter only. pkg/platform/httpplatform
// is the adapter for the stand-in.
package platform

import (
	"context"

	"github.com/juju/errors"
)

// Errors of the platform's services.
const (
	// ErrNotFound: no such row or object.
	ErrNotFound = errors.ConstError("not found")
	// ErrConflict: a guard of the transaction failed; nothing was written.
	ErrConflict = errors.ConstError("guard failed, nothing written")
	// ErrRefused: the service refused before doing anything (outage, rate limit).
	ErrRefused = errors.ConstError("refused, nothing done")
	// ErrUnknown: no answer came; a write may have taken effect.
	ErrUnknown = errors.ConstError("no answer, may have taken effect")
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with each write of the key; 0 means that the row doesn't exist.
	Version uint64 `json:"version"`
}

// Guard makes a transaction depend on a row's version (0: the row must not exist).
type Guard struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row; Delete removes it.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied whole or not at all.
type Txn struct {
	Guards []Guard `json:"guards,omitempty"`
	Puts   []Put   `json:"puts"`
}

// Table is the transactional table service: several hundred writes and about two
// thousand reads a second over the whole fleet, with outages and lost answers.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key has the prefix and is after the key after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t. ErrConflict and ErrRefused: nothing was written. Any other
	// error: it may have been; read back to find out.
	Commit(ctx context.Context, t Txn) error
}
