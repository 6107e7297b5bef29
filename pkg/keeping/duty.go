// Package keeping runs the cell keepers of one router.
//
// Which cells the router keeps follows from the configuration in force and the
// membership; Duty makes and ends keepers as these change, hands them the messages
// of other routers and sends what they decide. One goroutine owns all keepers.
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

// Tick is how often keepers look at what is due by time alone.
const Tick = 20 * time.Millisecond

// maxEvents bounds the frames that wait for the duty.
const maxEvents = 8192

// Directory tells which cells this router keeps and who the other routers are.
type Directory interface {
	// Index is the configuration in force, nil before the first.
	Index() *resource.Index
	// Keeps says whether this router keeps the cell.
	Keeps(cell wire.CellID) bool
	// Alive lists the routers that are alive, this one included.
	Alive() []wire.RouterID
}

// Sender passes messages to routers; it must not wait for the receiver.
type Sender interface {
	Send(to wire.RouterID, add func(*wire.Frame))
}

// Options of a Duty.
type Options struct {
	// Keeper is the pattern for each cell's keeper; Cell is filled in.
	Keeper keeper.Options
	Log    log.Interface
}

type event struct {
	from  wire.RouterID
	frame *wire.Frame
	mark  *wire.UpstreamMark
	// content is news of a suspect, 0 for none.
	content uint64
}

// Duty owns the keepers of this router. Run must be running.
type Duty struct {
	directory Directory
	sender    Sender
	options   Options

	events  chan event
	changed chan struct{}
	dropped atomic.Uint64
	stats   atomic.Pointer[Stats]

	// Owned by Run.
	keepers map[wire.CellID]*keeper.Keeper
	alive   map[wire.RouterID]bool
	marks   map[string]wire.UpstreamMark
	index   *resource.Index
	touched map[wire.CellID]bool
	granted keeper.Granted
}

// New returns a Duty that keeps nothing yet.
func New(d Directory, s Sender, o Options) *Duty {
	duty := &Duty{
		directory: d,
		sender:    s,
		options:   o,
		events:    make(chan event, maxEvents),
		changed:   make(chan struct{}, 1),
		keepers:   make(map[wire.CellID]*keeper.Keeper),
		alive:     make(map[wire.RouterID]bool),
		marks:     make(map[string]wire.UpstreamMark),
		touched:   make(map[wire.CellID]bool),
	}
	duty.stats.Store(&Stats{})
	return duty
}

// HandleFrame takes the messages for keepers out of a frame. It never waits: every
// message is sent again by its router until answered, so a full queue may drop one.
func (d *Duty) HandleFrame(from wire.RouterID, f *wire.Frame) {
	if len(f.Claims)+len(f.Cancels)+len(f.Dones)+len(f.Reports) == 0 {
		return
	}
	d.put(event{from: from, frame: f})
}

// Mark tells the keepers that an upstream leaves or came back.
func (d *Duty) Mark(m wire.UpstreamMark) { d.put(event{mark: &m}) }

// Suspected tells the keepers that there is news of a content that crashes upstreams:
// its waiting claims are refused, or run alone, at once and not when their turn comes.
func (d *Duty) Suspected(content uint64) { d.put(event{content: content}) }

// Changed says that the configuration or the membership changed.
func (d *Duty) Changed() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Dropped counts events that came faster than the duty took them.
func (d *Duty) Dropped() uint64 { return d.dropped.Load() }

func (d *Duty) put(e event) {
	select {
	case d.events <- e:
	default:
		d.dropped.Add(1)
	}
}

// Run is the duty. When ctx ends it hands its cells over: their waiting claims are
// refused, so that routers claim at the next keepers at once.
func (d *Duty) Run(ctx context.Context) {
	tick := time.NewTicker(Tick)
	defer tick.Stop()
	d.refresh(time.Now())
	for {
		select {
		case <-ctx.Done():
			d.leaveAll(time.Now())
			return
		case <-d.changed:
			d.refresh(time.Now())
		case e := <-d.events:
			d.handle(e, time.Now())
			d.drain(time.Now())
			d.flush(time.Now())
		case <-tick.C:
			d.touchAll()
			d.flush(time.Now())
			d.publish(time.Now())
		}
	}
}

// drain takes what else has come already, so that one decision serves a burst.
func (d *Duty) drain(now time.Time) {
	for range len(d.events) {
		d.handle(<-d.events, now)
	}
}
