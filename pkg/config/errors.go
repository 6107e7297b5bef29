package config

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Errors of Store and Live.
const (
	// ErrConflict: another operator's write came first; nothing was written.
	ErrConflict = errors.ConstError("configuration changed meanwhile, nothing written")
	// ErrNotAccepted: the table is out; nothing was written.
	ErrNotAccepted = errors.ConstError("not accepted, nothing written")
	// ErrUndecided: the answer of the write was lost and can't be read back yet. Send
	// it again with the same operation ID.
	ErrUndecided = errors.ConstError("no answer from the table: send again with the same operation ID")
	// ErrOpReused: the operation ID belongs to an earlier write with other content.
	ErrOpReused = errors.ConstError("operation ID was used for another change")
	// ErrGone: the history that a watch asked for was pruned.
	ErrGone = errors.ConstError("history is gone, list again")
	// ErrOlder: an offered snapshot is older than the one in force.
	ErrOlder = errors.ConstError("older than the snapshot in force")
)

// ConflictError is ErrConflict with the state that the loser has to look at.
type ConflictError struct {
	// Version is the configuration version that won.
	Version uint64
	// Stale names the resource that changed; nil when only the version was expected.
	Stale *resource.StaleError
}

// Error says what stood in the way.
func (e *ConflictError) Error() string {
	if e.Stale != nil {
		return e.Stale.Error()
	}
	return fmt.Sprintf("configuration is at version %d", e.Version)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
