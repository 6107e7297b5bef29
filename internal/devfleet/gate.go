package devfleet

import (
	"sync"
	"time"
)

// gate is the state of a relayed link: open or cut, and its delay one way.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the link is open
	delay  time.Duration
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// Cut holds back everything until Heal.
func (g *gate) Cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isClosed(g.opened) {
		g.opened = make(chan struct{})
	}
}

// Heal opens the link again.
func (g *gate) Heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isClosed(g.opened) {
		close(g.opened)
	}
}

// SetDelay delays what arrives from now on by d, in each direction.
func (g *gate) SetDelay(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = d
}

func (g *gate) state() (opened <-chan struct{}, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened, g.delay
}

func (g *gate) isCut() bool {
	opened, _ := g.state()
	return !isClosed(opened)
}
