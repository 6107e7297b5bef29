package forward

import "sync"

// Abort ends a call from any goroutine; the zero value is ready. A nil *Abort ends nothing.
//
// Guard: a call ends with its context too, by a goroutine that is started for it. On a host
// whose processor is used up that goroutine waits behind hundreds of others, and the
// upstream works on for nobody meanwhile. Here the goroutine that ends the call shuts the
// connection by itself.
type Abort struct {
	mu    sync.Mutex
	conn  *conn
	ended bool
}

// Now shuts the connection that is in use, and lets none be used after it.
func (a *Abort) Now() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.conn != nil {
		a.conn.shut()
	}
}

// hold notes that c is in use. It reports false when the call has been ended.
func (a *Abort) hold(c *conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.ended
}

// release notes that no connection is in use. It reports false when the last one was shut.
func (a *Abort) release() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.ended
}

// happened reports whether the call has been ended.
func (a *Abort) happened() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}
