package member

import (
	"sync"
	"sync/atomic"
)

// publisher hands the newest View to readers without a lock, and tells subscribers.
type publisher struct {
	view atomic.Pointer[View]

	mu   sync.Mutex
	subs map[chan struct{}]struct{}
}

func (p *publisher) publish(v *View) {
	p.view.Store(v)
	p.mu.Lock()
	defer p.mu.Unlock()
	for ch := range p.subs {
		// A full channel holds a notice already, and its reader will see this view.
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func (p *publisher) subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.subs == nil {
		p.subs = make(map[chan struct{}]struct{})
	}
	p.subs[ch] = struct{}{}
	return ch, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.subs, ch)
	}
}
