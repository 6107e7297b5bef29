package peer

import "sync"

// duties counts a transport's goroutines, so that Close can wait for all of them.
type duties struct {
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

// start runs duty in a goroutine of its own; false when the transport is closed.
//
// Guard: a late Send could start a writer while Close already waits for the last one;
// it would outlive Close and use the closed socket. The flag is set under the same
// lock before the wait begins.
func (d *duties) start(duty func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return false
	}
	d.running.Go(duty)
	return true
}

// stop allows no new duty and waits for the running ones.
func (d *duties) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.running.Wait()
}
