package soak

import (
	"sync"
	"time"
)

// everywhere stands for all routers, or all upstreams.
const everywhere = -1

// part is what a disturbance touches.
type part string

const (
	partProcess  part = "process"  // a router's process
	partCallers  part = "callers"  // the link from callers to a router
	partPeers    part = "peers"    // the link from other routers to a router
	partStore    part = "store"    // a router's link to the store, or the store
	partUpstream part = "upstream" // an upstream or the link to it
	partUplink   part = "uplink"   // the link to an upstream
	partLeaving  part = "leaving"  // a router's process while it ends in order
)

// disturbance is a time in which a part was not sound.
type disturbance struct {
	part     part
	index    int
	from, to time.Time // to is zero while it lasts
}

// journal keeps the disturbances.
type journal struct {
	mu   sync.Mutex
	list []*disturbance
}

// begin notes a disturbance; the result ends it.
func (j *journal) begin(p part, index int) (end func()) {
	d := &disturbance{part: p, index: index, from: time.Now()}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.to = time.Now()
	}
}

// span notes a disturbance that is over.
func (j *journal) span(p part, index int, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, &disturbance{part: p, index: index, from: from, to: to})
}

// calm reports whether none of the parts of index was disturbed between from and to, or
// in the settling time before.
func (j *journal) calm(from, to time.Time, index int, parts ...part) bool {
	return j.sound(from.Add(-settle), to, index, parts...)
}

// sound reports whether none of the parts of index was disturbed between from and to.
func (j *journal) sound(from, to time.Time, index int, parts ...part) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range j.list {
		if d.touches(index, parts) && !d.from.After(to) && (d.to.IsZero() || d.to.After(from)) {
			return false
		}
	}
	return true
}

func (d *disturbance) touches(index int, parts []part) bool {
	if d.index != everywhere && index != everywhere && d.index != index {
		return false
	}
	for _, p := range parts {
		if p == d.part {
			return true
		}
	}
	return false
}
