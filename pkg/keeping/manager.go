// Package keeping runs the cell keepers of one router.
//
// The configuration in force and the membership determine which cells the router keeps.
// Manager creates and ends keepers as these change, passes other routers' messages to them,
// and sends the resulting messages. Its event loop owns all keepers.
package keeping

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// TickInterval is how often keepers handle what is due because of elapsed time.
const TickInterval = 20 * time.Millisecond

// maxEvents bounds the events that wait for the event loop.
const maxEvents = 8192

// Directory knows which cells this router keeps and which routers are alive.
type Directory interface {
	// Index is the configuration in force, nil before the first.
	Index() *resource.Index
	// Keeps reports whether this router keeps the cell.
	Keeps(cell wire.CellID) bool
	// Alive lists the routers that are alive, this one included.
	Alive() []wire.RouterID
}

// Sender sends messages to routers; Send must not wait for the receiver.
type Sender interface {
	Send(to wire.RouterID, add func(*wire.Frame))
}

// Options configures a Manager.
type Options struct {
	// Keeper is the template for the options of each cell's keeper; Cell is filled in.
	Keeper keeper.Options
	Log    log.Interface
}

type event struct {
	from  wire.RouterID
	frame *wire.Frame
	mark  *wire.UpstreamMark
	// content is a content whose crash count changed; 0 for none.
	content uint64
}

// Manager owns the keepers of this router. It handles messages only while Run is running.
type Manager struct {
	directory Directory
	sender    Sender
	options   Options

	events  chan event
	changed chan struct{}
	dropped atomic.Uint64
	stats   atomic.Pointer[Stats]

	// Owned by Run.
	keepers     map[wire.CellID]*keeper.Keeper
	alive       map[wire.RouterID]bool
	marks       map[string]wire.UpstreamMark
	index       *resource.Index
	dirty       map[wire.CellID]bool
	grantCounts keeper.GrantCounts
}

// New returns a Manager without keepers.
func New(d Directory, s Sender, o Options) *Manager {
	manager := &Manager{
		directory: d,
		sender:    s,
		options:   o,
		events:    make(chan event, maxEvents),
		changed:   make(chan struct{}, 1),
		keepers:   make(map[wire.CellID]*keeper.Keeper),
		alive:     make(map[wire.RouterID]bool),
		marks:     make(map[string]wire.UpstreamMark),
		dirty:     make(map[wire.CellID]bool),
	}
	manager.stats.Store(&Stats{})
	return manager
}

// HandleFrame passes on the messages for keepers in a frame. It never blocks: every message
// is sent again by its router until it is answered, so one may be dropped when the queue is
// full.
func (d *Manager) HandleFrame(from wire.RouterID, f *wire.Frame) {
	if len(f.Claims)+len(f.Cancels)+len(f.Dones)+len(f.Reports) == 0 {
		return
	}
	d.enqueue(event{from: from, frame: f})
}

// Mark tells the keepers that an upstream is leaving or has come back.
func (d *Manager) Mark(m wire.UpstreamMark) { d.enqueue(event{mark: &m}) }

// UpdateSuspect tells the keepers that the number of crashes under a content changed: its
// waiting claims are refused, or isolated to run alone, at once and not only when their
// turn comes.
func (d *Manager) UpdateSuspect(content uint64) { d.enqueue(event{content: content}) }

// Changed tells the event loop that the configuration or the membership changed.
func (d *Manager) Changed() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Dropped returns the number of events dropped because the event loop was behind.
func (d *Manager) Dropped() uint64 { return d.dropped.Load() }

func (d *Manager) enqueue(e event) {
	select {
	case d.events <- e:
	default:
		d.dropped.Add(1)
	}
}

// Run is the event loop. When ctx ends it hands its cells over: their waiting claims are
// refused, so that routers claim at the next keepers at once.
func (d *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	d.refresh(time.Now())
	for {
		select {
		case <-ctx.Done():
			d.handOverAll(time.Now())
			return
		case <-d.changed:
			d.refresh(time.Now())
		case e := <-d.events:
			d.handle(e, time.Now())
			d.handlePending(time.Now())
			d.flush(time.Now())
		case <-tick.C:
			d.markAllDirty()
			d.flush(time.Now())
			d.publishStats(time.Now())
		}
	}
}

// handlePending handles all queued events, so that one decision serves a burst.
func (d *Manager) handlePending(now time.Time) {
	for range len(d.events) {
		d.handle(<-d.events, now)
	}
}
