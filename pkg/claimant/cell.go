package claimant

import (
	"container/list"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// cell is the state of this router in one cell.
type cell struct {
	id     wire.CellID
	pool   string
	keeper wire.RouterID // "" when unknown

	waiting *list.List // of *claim, the longest in the cell first
	// unconfirmed holds the claims that the keeper isn't known to have.
	unconfirmed map[wire.ClaimID]*claim
	running     map[wire.ClaimID]*slot

	// delivered is this router's service through the cell, virtual the largest counter seen
	// in grants, and reported the service through other cells as last reported to the keeper.
	// Organisations are declared, so these maps are bounded.
	delivered map[string]wire.Units
	virtual   map[string]wire.Units
	reported  map[string]wire.Units

	reports  reportLog
	reportAt time.Time
	// needFull stays set until a new keeper has answered a full report, or until
	// maxUrgentReports reports have been sent.
	//
	// The failure it guards against: this router learns of the change before the new keeper
	// does, and that keeper drops the report. If partial reports followed, the loss would be
	// made good seconds later, and until its timeout the keeper would grant nothing.
	needFull       bool
	needFullSeq    uint64 // first full report since needFull was set; 0 for none
	urgentReports  int    // full reports since needFull was set
	partialReports int    // reports since the last full one
	// releasePending is set when a slot or claim is released and stays set until the keeper
	// has answered a full report: the message about the release may have been lost, and with
	// nothing else in the cell no other report would free what the keeper holds.
	releasePending bool
	releaseSeq     uint64 // first full report since releasePending was set; 0 for none
	answeredSeq    uint64 // newest report that the present keeper has answered
	nextOrg        int    // index of the organisation from which the next full report lists counters

	// tieBreak orders the cells of which nothing is known, differently at each router.
	tieBreak uint64

	// spare and backlog are from the keeper's last answer, received at stateAt.
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
		reported:    make(map[string]wire.Units),
	}
}

func (c *cell) busy() bool { return c.waiting.Len() > 0 || len(c.running) > 0 || c.releasePending }

// noteRelease notes that the keeper may hold a slot or claim that is gone here.
func (c *cell) noteRelease() {
	c.releasePending = true
	c.releaseSeq = 0
}

func (c *cell) add(cl *claim, now time.Time) {
	cl.cell = c
	cl.placedAt = now
	cl.element = c.waiting.PushBack(cl)
	c.unconfirmed[cl.id] = cl
}

// reportBy brings the next report forward to at.
func (c *cell) reportBy(at time.Time) {
	if c.reportAt.After(at) {
		c.reportAt = at
	}
}

func (c *cell) remove(cl *claim) {
	c.waiting.Remove(cl.element)
	delete(c.unconfirmed, cl.id)
}

// resetKeeper sets a new keeper and forgets everything that only the former one knew.
func (c *cell) resetKeeper(k wire.RouterID) {
	c.keeper = k
	c.needFull, c.needFullSeq, c.urgentReports = true, 0, 0
	c.answeredSeq = 0
	c.spare, c.backlog, c.stateAt = 0, 0, time.Time{}
	clear(c.reported)
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		cl := e.Value.(*claim)
		cl.listedSeq = 0
		cl.resendBackoff = 0
		c.unconfirmed[cl.id] = cl
	}
	for _, s := range c.running {
		s.listedSeq = 0
	}
}
