package replay

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// connections are those of all routers to all engines.
type connections struct {
	// keeps is how long an engine keeps an idle connection, opening how long a new one takes; both 0
	// where connections aren't played.
	keeps, opening time.Duration
	// idle holds until when each idle connection may be used.
	idle map[connectionEnds][]time.Duration
}

// connectionEnds are a router and the engine that it is connected to.
type connectionEnds struct {
	router int
	engine upstream.ID
}

func newConnections(s Service) *connections {
	return &connections{keeps: s.KeepsIdle, opening: s.Opening, idle: make(map[connectionEnds][]time.Duration)}
}

// connected reports whether a router has an idle connection that may be used.
func (c *connections) connected(ends connectionEnds, now time.Duration) bool {
	list := c.idle[ends]
	return len(list) > 0 && list[len(list)-1] > now
}

// use takes the newest idle connection; false when one has to be opened.
func (c *connections) use(ends connectionEnds, now time.Duration) bool {
	if !c.connected(ends, now) {
		delete(c.idle, ends)
		return false
	}
	list := c.idle[ends]
	c.idle[ends] = list[:len(list)-1]
	return true
}

// release makes a connection idle.
func (c *connections) release(ends connectionEnds, now time.Duration) {
	c.idle[ends] = append(c.idle[ends], now+c.keeps)
}

// connect gives a job a connection, which it waits for if it is new.
func (w *world) connect(at *router, j *job) {
	ends := connectionEnds{router: at.index, engine: j.placed.choice.Candidate.Instance.ID}
	j.placed.ends = ends
	if w.conns.keeps == 0 || w.conns.use(ends, j.request.At) {
		return
	}
	j.at += w.conns.opening
	w.result(j.request.Organisation).Opened++
}
