package member

import (
	"math/rand/v2"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Roster is the membership protocol of one router. It has no clock, no goroutine and
// no lock: its owner passes the time in.
type Roster struct {
	opts    Options
	self    wire.Member
	selfSeq uint64 // grows with each change of self's incarnation or state
	entries map[wire.RouterID]*entry
	hosts   map[wire.RouterID]platform.Host
	rings   rings
	rng     *rand.Rand
	sent    map[uint64]sentPing
	nonce   uint64
	ticked  time.Time
	probeAt time.Time
	changed bool
	// sum is the digest; it holds while summed is true.
	sum    uint64
	summed bool
}

// sentPing is a ping without an answer yet.
type sentPing struct {
	to      wire.RouterID // empty for a ping to an address
	at      time.Time
	selfSeq uint64
}

// outgoing is a ping to send, to a router or to an address.
type outgoing struct {
	to   wire.RouterID
	addr string
	ping wire.Ping
}

// NewRoster returns a Roster that knows only itself and its seeds.
func NewRoster(opts Options) *Roster {
	opts = opts.withDefaults()
	r := &Roster{
		opts:    opts,
		self:    opts.Self,
		selfSeq: 1,
		entries: make(map[wire.RouterID]*entry),
		hosts:   make(map[wire.RouterID]platform.Host),
		rng:     rand.New(rand.NewPCG(opts.Seed, 0x6d656d626572)),
		sent:    make(map[uint64]sentPing),
		changed: true,
	}
	r.self.Incarnation = firstIncarnation(opts.Start)
	r.self.State = wire.MemberAlive
	r.nonce = uint64(r.rng.Uint32())
	r.rings.stale = true
	return r
}

// Tick is called each heartbeat. It gives the pings to send.
func (r *Roster) Tick(now time.Time, l local) []outgoing {
	r.setVersion(l.version)
	r.forgive(now)
	r.ticked = now
	r.forgetPings(now)
	targets := r.watch(now)
	r.detect(now)
	out := r.pings(now, l, targets)
	return append(out, r.probes(now, l)...)
}

// Leave marks this router as leaving and spreads that.
func (r *Roster) Leave() {
	if r.self.State == wire.MemberLeaving {
		return
	}
	r.self.State = wire.MemberLeaving
	r.selfChanged()
}

// LeaveSpread says that all members that this router pings have answered since Leave.
func (r *Roster) LeaveSpread() bool {
	for _, id := range r.targets() {
		e := r.entries[id]
		if e.up() && e.acked < r.selfSeq {
			return false
		}
	}
	return true
}

func (r *Roster) setVersion(version uint64) {
	if r.self.Version != version {
		r.self.Version = version
		r.changed = true
	}
}

func (r *Roster) selfChanged() {
	r.selfSeq++
	r.summed = false
	r.changed = true
}

// entryChanged notes a change of e's incarnation or state, which is gossiped.
func (r *Roster) entryChanged(e *entry) {
	e.sends = r.retransmits()
	r.summed = false
	r.changed = true
	r.rings.stale = true
}
