package claimant

import (
	"container/list"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// cell is what this router has in one cell.
type cell struct {
	id     wire.CellID
	pool   string
	keeper wire.RouterID // "" when unknown

	waiting *list.List // of *claim, the longest in the cell first
	// unconfirmed holds the claims that the keeper isn't known to have.
	unconfirmed map[wire.ClaimID]*claim
	running     map[wire.ClaimID]*slot

	// delivered is this router's service through the cell; virtual the largest
	// counter seen in grants; told the service elsewhere that the keeper was last told. Organisations are
	// declared, so these maps are bounded.
	delivered map[string]wire.Units
	virtual   map[string]wire.Units
	told      map[string]wire.Units

	reports  reportLog
	reportAt time.Time
	// needFull stays set until a new keeper has answered a full report, or hurriedMost went.
	//
	// The failure it guards against: this router hears of the change before the new keeper
	// does, which drops the report. Followed by partial ones, it was made good only seconds
	// later, and until its bound the keeper waited for it and granted nothing.
	needFull bool
	needSeq  uint64 // first full report since needFull was set; 0 for none
	hurried  int    // full reports since needFull was set
	partial  int    // reports since the last full one
	// owesFull stays set after a slot or claim went until the keeper has answered a
	// full report: the message that said so may have been lost, and with nothing else
	// in the cell no other report would free what the keeper holds.
	owesFull bool
	fullSeq  uint64 // newest full report since owesFull was set; 0 for none
	answered uint64 // newest report that the present keeper has answered
	nextOrg  int    // the organisation from which the next full report lists counters

	// draw orders the cells of which nothing is known, differently at each router.
	draw uint64

	spare   uint32
	backlog uint32
	stateAt time.Time
}

func newCell(id wire.CellID, pool string) *cell {
	return &cell{
		id:          id,
		pool:        pool,
		waiting:     list.New(),
		unconfirmed: make(map[wire.ClaimID]*claim),
		running:     make(map[wire.ClaimID]*slot),
		delivered:   make(map[string]wire.Units),
		virtual:     make(map[string]wire.Units),
		told:        make(map[string]wire.Units),
	}
}

func (c *cell) busy() bool { return c.waiting.Len() > 0 || len(c.running) > 0 || c.owesFull }

// owe notes that the keeper may hold something that is gone here.
func (c *cell) owe() {
	c.owesFull = true
	c.fullSeq = 0
}

func (c *cell) add(cl *claim, now time.Time) {
	cl.cell = c
	cl.placed = now
	cl.place = c.waiting.PushBack(cl)
	c.unconfirmed[cl.id] = cl
}

// hasten brings the next report forward to at.
func (c *cell) hasten(at time.Time) {
	if c.reportAt.After(at) {
		c.reportAt = at
	}
}

func (c *cell) remove(cl *claim) {
	c.waiting.Remove(cl.place)
	delete(c.unconfirmed, cl.id)
}

// newKeeper forgets all that only the former keeper knew.
func (c *cell) newKeeper(k wire.RouterID) {
	c.keeper = k
	c.needFull, c.needSeq, c.hurried = true, 0, 0
	c.answered = 0
	c.spare, c.backlog, c.stateAt = 0, 0, time.Time{}
	clear(c.told)
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		cl := e.Value.(*claim)
		cl.listed = 0
		cl.resend = 0
		c.unconfirmed[cl.id] = cl
	}
	for _, s := range c.running {
		s.listed = 0
	}
}
