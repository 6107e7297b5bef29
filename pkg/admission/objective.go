package admission

import "time"

// SetObjective sets the function that returns the shortest objective of the requests that arrive: a
// caller that is refused unread is told to return within it. It must be called before the first
// Accept.
func (l *Listener) SetObjective(objective func() time.Duration) { l.objective = objective }
