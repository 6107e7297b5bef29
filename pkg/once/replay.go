package once

import "fmt"

// Replay is the error of Begin for a call that ran before and whose answer was stored.
type Replay struct {
	Status int
	Body   []byte
}

// Error implements error.
func (r *Replay) Error() string {
	return fmt.Sprintf("ran before, stored answer with status %d and %d bytes", r.Status, len(r.Body))
}
