package connlimit

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// Group is a number of connections with common limits.
type Group struct {
	// heads is the memory that heads may take; other groups may share it.
	heads *buffers.Budget
	now   func() time.Time
	// sweeps counts the calls of Sweep, by which writes are dated.
	sweeps atomic.Int64

	mu     sync.Mutex
	limits Limits
	open   int
	// unfinished, idle and serving hold the entries in each phase, the one that is in it for the longest time first.
	unfinished, idle, serving list.List
	counts                    Counts
}

// Counts are the connections that were closed so far, by reason.
type Counts struct {
	// Unfinished and Idle made room for others, Stalled took nothing of a response, Heads found no memory for a request's head.
	Unfinished, Idle, Stalled, Heads int64
}

// NewGroup returns a group whose heads take memory of the given budget.
func NewGroup(l Limits, heads *buffers.Budget) *Group {
	return &Group{limits: l, heads: heads, now: time.Now}
}

// Admit returns the entry of a new connection, and whether there is room for it. A nil group has room for any.
func (g *Group) Admit(c conn) (e *Entry, ok bool) {
	if g == nil {
		return nil, true
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.makeRoomUnfinished(now) || !g.makeRoom(now) {
		return nil, false
	}
	return g.add(c, &g.unfinished, now), true
}

// AdmitComplete returns the entry of a new connection on which a complete request has arrived, and whether there is room for it.
// It needs no place among those with unfinished requests.
func (g *Group) AdmitComplete(c conn) (e *Entry, ok bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.makeRoom(now) {
		return nil, false
	}
	return g.add(c, &g.serving, now), true
}

// add returns a new entry in one of the lists; with the mutex held.
func (g *Group) add(c conn, to *list.List, now time.Time) *Entry {
	e := &Entry{group: g, conn: c, inHead: true, lease: g.heads.Lease()}
	g.open++
	e.enter(to, now)
	return e
}

// makeRoomUnfinished closes connections until there is room for another unfinished request, and reports whether there is.
func (g *Group) makeRoomUnfinished(now time.Time) bool {
	for exceeds(g.unfinished.Len()+1, g.limits.Unfinished) {
		if !g.closeFirst(&g.unfinished, &g.counts.Unfinished, now) {
			return false
		}
	}
	return true
}

// makeRoom closes connections until there is room for another one, and reports whether there is.
func (g *Group) makeRoom(now time.Time) bool {
	for exceeds(g.open+1, g.limits.Open) {
		if !g.closeFirst(&g.unfinished, &g.counts.Unfinished, now) && !g.closeFirst(&g.idle, &g.counts.Idle, now) {
			return false
		}
	}
	return true
}

func exceeds(n, limit int) bool { return limit > 0 && n > limit }

// closeFirst closes the first connection of a list if it has been there for long enough.
func (g *Group) closeFirst(of *list.List, count *int64, now time.Time) bool {
	first := of.Front()
	if first == nil {
		return false
	}
	e := first.Value.(*Entry)
	if now.Sub(e.since) < patience {
		return false
	}
	*count++
	e.leave()
	e.interrupt()
	return true
}

// closeStalledBody closes the connection whose unfinished body has taken memory for the longest time, of those that send nothing.
func (g *Group) closeStalledBody() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for el := g.unfinished.Front(); el != nil; el = el.Next() {
		e := el.Value.(*Entry)
		if e.holdsBody.Load() && now.Sub(time.Unix(0, e.lastRead.Load())) >= patience {
			g.counts.Unfinished++
			e.leave()
			e.interrupt()
			return
		}
	}
}

// SetLimits changes the limits, and closes what exceeds them as far as that may make room.
func (g *Group) SetLimits(l Limits) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	_ = g.makeRoomUnfinished(now) && g.makeRoom(now)
}

// Sweep closes the connections that have taken none of what was written to them for too long. It is to be called every interval.
func (g *Group) Sweep(interval time.Duration) {
	sweep := g.sweeps.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	for el := g.serving.Front(); el != nil; {
		e := el.Value.(*Entry)
		el = el.Next()
		if began := e.writing.Load(); began != 0 && time.Duration(sweep-began)*interval > maxWriteStall {
			g.counts.Stalled++
			e.leave()
			e.abort()
		}
	}
}

// Counts returns how many connections were closed so far.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Open returns the number of connections.
func (g *Group) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}
