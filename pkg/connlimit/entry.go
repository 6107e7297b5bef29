package connlimit

import (
	"bytes"
	"container/list"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// conn is what an entry needs of its connection.
type conn interface {
	SetReadDeadline(time.Time) error
	SetWriteDeadline(time.Time) error
}

// Entry is one connection of a group. A nil entry isn't bounded.
type Entry struct {
	group *Group
	conn  conn
	// list is the one that holds the entry, nil once it has left; element and since are its place and when it entered.
	// They are guarded by the group's mutex.
	list    *list.List
	element *list.Element
	since   time.Time

	// inHead is whether what is read belongs to a request's head, headBytes and headLines what was read of it, idle whether no
	// request has begun since the last one. They and the lease belong to the goroutine that serves the connection.
	inHead, idle         bool
	headBytes, headLines int64
	lease                buffers.Lease

	// holdsBody is whether the request's unfinished body takes memory that others wait for, lastRead when bytes of it were read
	// last, in nanoseconds since the Unix epoch.
	holdsBody atomic.Bool
	lastRead  atomic.Int64
	// closing is set once the connection is to be closed.
	closing atomic.Bool
	// writing is the group's count of sweeps as the write began that hasn't ended; 0 for none.
	writing atomic.Int64
}

// enter puts the entry into another list; with the group's mutex held.
func (e *Entry) enter(to *list.List, now time.Time) {
	if e.list != nil {
		e.list.Remove(e.element)
	}
	e.list, e.element, e.since = to, to.PushBack(e), now
}

// leave takes the entry out of the group; with the group's mutex held.
func (e *Entry) leave() {
	if e.list == nil {
		return
	}
	e.list.Remove(e.element)
	e.list = nil
	e.group.open--
}

// move puts the entry into another list, unless it has left.
func (e *Entry) move(to *list.List) {
	now := e.group.now()
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if e.list != nil && e.list != to {
		e.enter(to, now)
	}
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// interrupt ends the reading of the request.
func (e *Entry) interrupt() {
	e.closing.Store(true)
	_ = e.conn.SetReadDeadline(past) // fails on a closed connection, which is read no more
}

// abort ends the writing of the response. What the kernel still holds of it is dropped.
func (e *Entry) abort() {
	e.interrupt()
	if c, ok := e.conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0) // fails on a closed connection
	}
	_ = e.conn.SetWriteDeadline(past)
}

// Closing reports whether the connection is to be closed: nothing more may be read from it.
func (e *Entry) Closing() bool { return e != nil && e.closing.Load() }

// Received notes what was read from the connection. It returns false if it belongs to a head for which there is no memory.
func (e *Entry) Received(b []byte) bool {
	if e == nil || len(b) == 0 {
		return true
	}
	if e.idle {
		e.idle, e.inHead = false, true
		e.move(&e.group.unfinished)
	}
	if !e.inHead {
		if e.holdsBody.Load() {
			e.lastRead.Store(e.group.now().UnixNano())
		}
		return true
	}
	e.headBytes += int64(len(b))
	e.headLines += int64(bytes.Count(b, []byte{'\n'}))
	cost := headCopies*e.headBytes + lineCost*e.headLines
	if cost <= freeHead || e.lease.Hold(cost-freeHead+buffers.FreeBytes) {
		return true
	}
	e.group.refuseHead()
	return false
}

// refuseHead makes room for later heads as one finds none.
func (g *Group) refuseHead() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Heads++
	g.closeFirst(&g.unfinished, &g.counts.Unfinished, now)
}

// HoldBody notes that the request's body takes memory of a common account while it is read.
func (e *Entry) HoldBody() {
	if e != nil {
		e.lastRead.Store(e.group.now().UnixNano())
		e.holdsBody.Store(true)
	}
}

// RefuseBody makes room for later bodies as there is no memory for the one of this request: it closes the connection of an
// unfinished body of which nothing has arrived for a while.
func (e *Entry) RefuseBody() {
	if e != nil {
		e.group.closeStalledBody()
	}
}

// RequestRead notes that the request has been read to its end.
func (e *Entry) RequestRead() {
	if e != nil {
		e.holdsBody.Store(false)
		e.move(&e.group.serving)
	}
}

// HeadBytes returns the number of bytes that were read with the head of the current request: some of its body may be among them,
// as many as the server's buffer has.
func (e *Entry) HeadBytes() int64 {
	if e == nil {
		return 0
	}
	return e.headBytes
}

// BeginWrite and EndWrite enclose a write to the connection.
func (e *Entry) BeginWrite() {
	if e != nil {
		e.writing.Store(e.group.sweeps.Load() + 1)
	}
}

// EndWrite notes that a write has ended.
func (e *Entry) EndWrite() {
	if e != nil {
		e.writing.Store(0)
	}
}

// observe follows the connection's state in the server.
func (e *Entry) observe(s http.ConnState) {
	if e == nil {
		return
	}
	switch s {
	case http.StateActive: // the head has been read
		if e.idle {
			e.idle = false
			e.move(&e.group.unfinished)
		}
		e.inHead = false
	case http.StateIdle:
		e.endRequest()
		e.idle, e.inHead = true, false
		e.move(&e.group.idle)
	case http.StateClosed, http.StateHijacked:
		e.endRequest()
		e.group.mu.Lock()
		defer e.group.mu.Unlock()
		e.leave()
	}
}

// endRequest gives back what the request's head holds.
func (e *Entry) endRequest() {
	e.holdsBody.Store(false)
	e.lease.Release()
	e.headBytes, e.headLines = 0, 0
}
