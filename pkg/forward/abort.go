package forward

import "sync"

// Abort cancels a call from any goroutine. The zero value is ready for use; a nil *Abort never
// cancels.
//
// Guard: a call's context cancels it too, but in a goroutine of its own. On a host whose CPU is
// exhausted, that goroutine waits behind hundreds of others, and the upstream works for nobody
// meanwhile. An Abort shuts the connection down in the goroutine that cancels the call.
type Abort struct {
	mu        sync.Mutex
	conn      *conn
	triggered bool
}

// Trigger shuts down the connection in use, if any, and prevents the call from using another one.
func (a *Abort) Trigger() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.triggered = true
	if a.conn != nil {
		a.conn.shutdown()
	}
}

// attach records that the call uses c. It returns false if the call has been canceled.
func (a *Abort) attach(c *conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.triggered
}

// detach records that the call uses no connection. It returns false if the call has been canceled,
// which shut the connection down.
func (a *Abort) detach() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.triggered
}

// isTriggered reports whether the call has been canceled.
func (a *Abort) isTriggered() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.triggered
}
