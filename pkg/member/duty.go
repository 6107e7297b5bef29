package member

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// maxEvents bounds the frames that wait for the duty.
const maxEvents = 512

// Duty drives a Roster: one goroutine owns it, another one polls the host list.
type Duty struct {
	roster   *Roster
	sender   Sender
	versions Versions
	marks    Marks
	hosts    platform.Hosts
	poll     time.Duration
	log      log.Interface

	publisher publisher
	events    chan event
	lists     chan platform.HostList
	leaving   chan chan struct{}
	spread    []chan struct{}
	dropped   atomic.Uint64
}

// event is a frame's part for membership.
type event struct {
	from  wire.RouterID
	pings []wire.Ping
	pongs []wire.Pong
}

// Config joins a Duty to its neighbours. Versions, Marks and Hosts may be nil.
type Config struct {
	Options  Options
	Versions Versions
	Marks    Marks
	Hosts    platform.Hosts
	// Poll is the time between two reads of the host list by the whole fleet: each
	// router reads it the less often the more routers there are.
	Poll time.Duration
	Log  log.Interface
}

// NewDuty returns a Duty whose View holds this router alone. Attach a sender and Run it.
func NewDuty(c Config) *Duty {
	if c.Log == nil {
		c.Log = log.Log
	}
	d := &Duty{
		roster:   NewRoster(c.Options),
		versions: c.Versions,
		marks:    c.Marks,
		hosts:    c.Hosts,
		poll:     c.Poll,
		log:      c.Log,
		events:   make(chan event, maxEvents),
		lists:    make(chan platform.HostList, 1),
		leaving:  make(chan chan struct{}),
	}
	d.publish()
	return d
}

// Attach sets the sender; it must come before Run. (The transport needs the Duty as its
// Resolver first, so the two can't be made in one step.)
func (d *Duty) Attach(s Sender) { d.sender = s }

// View gives the newest membership, without a lock.
func (d *Duty) View() *View { return d.publisher.view.Load() }

// Subscribe gives a channel that gets a notice after changes of the View, one for
// several changes when its reader is slow, and a function that ends the subscription.
func (d *Duty) Subscribe() (<-chan struct{}, func()) { return d.publisher.subscribe() }

// PeerAddr makes the Duty a peer.Resolver.
func (d *Duty) PeerAddr(id wire.RouterID) (string, bool) { return d.View().PeerAddr(id) }

// Dropped counts frames that came faster than the duty took them.
func (d *Duty) Dropped() uint64 { return d.dropped.Load() }

// HandleFrame takes the membership messages of a frame. It never blocks: heartbeats are
// repeated, so one that finds the duty's queue full may go.
func (d *Duty) HandleFrame(from wire.RouterID, f *wire.Frame) {
	if len(f.Pings) == 0 && len(f.Pongs) == 0 {
		return
	}
	select {
	case d.events <- event{from: from, pings: f.Pings, pongs: f.Pongs}:
	default:
		d.dropped.Add(1)
	}
}

// Run drives the roster until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	if d.hosts != nil && d.poll > 0 {
		polled := make(chan struct{})
		defer func() { <-polled }()
		go func() {
			defer close(polled)
			d.pollHosts(ctx)
		}()
	}
	ticker := time.NewTicker(d.roster.opts.Heartbeat)
	defer ticker.Stop()
	d.tick()
	for ctx.Err() == nil {
		d.step(ctx, ticker.C)
		d.publish()
	}
}

func (d *Duty) step(ctx context.Context, ticks <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-ticks:
		d.tick()
	case e := <-d.events:
		d.take(e)
	case list := <-d.lists:
		d.roster.SetHosts(time.Now(), list)
	case done := <-d.leaving:
		d.roster.Leave()
		d.spread = append(d.spread, done)
		d.tick()
	}
}

func (d *Duty) tick() {
	now := time.Now()
	for _, o := range d.roster.Tick(now, d.local(now)) {
		d.send(o)
	}
	d.tellSpread()
}

func (d *Duty) send(o outgoing) {
	add := func(f *wire.Frame) { f.Pings = append(f.Pings, o.ping) }
	if o.to == "" {
		d.sender.SendAddr(o.addr, add)
		return
	}
	d.sender.Send(o.to, add)
}

func (d *Duty) take(e event) {
	now := time.Now()
	for _, p := range e.pings {
		pong := d.roster.Ping(now, d.local(now), e.from, p)
		// Guard: a router that leaves closes its addresses once its peers have answered. One
		// whose view did not show it yet would give it work all the same.
		d.publish()
		d.sender.Send(e.from, func(f *wire.Frame) { f.Pongs = append(f.Pongs, pong) })
		d.peerVersion(e.from, p.Version)
	}
	for _, p := range e.pongs {
		c, ok := d.roster.Pong(now, e.from, p)
		d.peerVersion(e.from, p.Version)
		if ok && d.versions != nil {
			d.versions.Confirm(c.at, c.version)
		}
		if d.marks != nil && len(p.Marks) > 0 {
			d.marks.MergeMarks(e.from, p.Marks)
		}
	}
	d.tellSpread()
}

func (d *Duty) peerVersion(from wire.RouterID, version uint64) {
	if d.versions != nil && version > 0 {
		d.versions.PeerVersion(from, version)
	}
}

// local asks the hooks.
func (d *Duty) local(now time.Time) local {
	var l local
	if d.versions != nil {
		l.version = d.versions.Version()
		since, ok := d.versions.Confirmed(now)
		l.confirmed = ok
		l.confirmedMs = age(now, now.Add(-since))
	}
	if d.marks != nil {
		l.marks = d.marks.RecentMarks()
	}
	return l
}

func (d *Duty) publish() {
	if !d.roster.changed {
		return
	}
	d.roster.changed = false
	d.publisher.publish(d.roster.View())
}

// Leave spreads that this router is leaving and returns when the members that it pings
// know, or when ctx ends. Heartbeats go on until Run's context ends.
func (d *Duty) Leave(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case d.leaving <- done:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (d *Duty) tellSpread() {
	if len(d.spread) == 0 || !d.roster.LeaveSpread() {
		return
	}
	for _, done := range d.spread {
		close(done)
	}
	d.spread = nil
}
