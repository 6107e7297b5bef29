package slopes

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Members measures whole fleets of membership duties that pass encoded frames in
// memory. Heartbeats are shortened, and figures given for one heartbeat.
type Members struct {
	Fleets    []int
	Heartbeat time.Duration
	Window    time.Duration
	// JoinWithin bounds the time in which a fleet comes together.
	JoinWithin time.Duration
	// Settle, and SettleEach for each member, is the time in which the news of the
	// join die down: every record is passed on some dozen times by every router.
	Settle, SettleEach time.Duration
}

const perMember = "members"

func (m Members) run(ctx context.Context, r *Report) error {
	for _, n := range m.Fleets {
		if err := m.fleet(ctx, n, r); err != nil {
			return err
		}
	}
	return nil
}

func (m Members) fleet(ctx context.Context, n int, r *Report) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f, err := newFleet(n, m.Heartbeat)
	if err != nil {
		return err
	}
	start := heap()
	var group sync.WaitGroup
	for _, d := range f.duties {
		group.Go(func() { d.Run(ctx) })
	}
	for _, p := range f.pollers {
		group.Go(func() { p.Run(ctx) })
	}
	joined := f.join(ctx, m.JoinWithin)
	wait(ctx, m.Settle+time.Duration(n)*m.SettleEach)
	f.bytes.Store(0)
	f.frames.Store(0)
	f.table.reads.Store(0)
	cpu, began := processorTime(), time.Now()
	wait(ctx, m.Window)
	beats := float64(n) * float64(time.Since(began)) / float64(m.Heartbeat)
	x := float64(n)
	r.add("member/frames", perMember, "frames sent/heartbeat a node", Point{x, float64(f.frames.Load()) / beats})
	r.add("member/encoded-bytes", perMember, "bytes sent/heartbeat a node, without packets", Point{x, float64(f.bytes.Load()) / beats})
	// Poll is two heartbeats with the daemons' defaults: a second there is two heartbeats.
	r.add("member/head-reads", perMember, "reads of the head row/s of the fleet", Point{x, 2 * x * float64(f.table.reads.Load()) / beats})
	r.add("member/cpu", perMember, "us/heartbeat a node", Point{x, micros(processorTime()-cpu) / beats})
	r.add("member/memory", perMember, "bytes a node", Point{x, (heap() - start) / x})
	r.add("member/join", perMember, "heartbeats until all know all", Point{x, float64(joined) / float64(m.Heartbeat)})
	stop()
	group.Wait()
	return nil
}

// memberFleet is duties joined without a network.
type memberFleet struct {
	duties        []*member.Duty
	pollers       []*config.Poller
	table         *countedTable
	at            map[wire.RouterID]*member.Duty
	bytes, frames atomic.Int64
}

// Times of the pollers in heartbeats, as in the daemons' defaults.
const (
	beatsPerPoll    = 2
	beatsPerConfirm = 10
)

func newFleet(n int, beat time.Duration) (*memberFleet, error) {
	f := &memberFleet{at: make(map[wire.RouterID]*member.Duty), table: new(countedTable)}
	store, s, err := seeded(f.table)
	if err != nil {
		return nil, err
	}
	for i := range n {
		id := nodeName(i)
		var d *member.Duty
		reach := config.ReachFunc(func() (alive, known int) { return d.View().Reachable() })
		live := config.NewLive(config.LiveOptions{ConfirmWithin: beatsPerConfirm * beat, Reach: reach})
		if err := live.Adopt(time.Now(), s); err != nil {
			return nil, err
		}
		d = member.NewDuty(member.Config{Log: silent(), Versions: live, Options: member.Options{
			Self:  wire.Member{ID: id, Zone: "zone-1", PeerAddr: string(id), EntryAddr: "10.0.0.1:8080"},
			Start: time.Now(), Seeds: []string{string(nodeName(0))}, Seed: uint64(i) + 1,
			// Wide limits: a busy machine must not add suspicions to the count.
			Heartbeat: beat, SuspectAfter: 60 * beat, DeadAfter: 120 * beat,
		}})
		d.Attach(link{f, id})
		f.duties = append(f.duties, d)
		f.at[id] = d
		f.pollers = append(f.pollers, config.NewPoller(store, live, rankOf{d}, config.PollerOptions{
			Poll: beatsPerPoll * beat, ConfirmWithin: beatsPerConfirm * beat, Log: silent(),
		}))
	}
	return f, nil
}

// rankOf ranks a router by its own view, as the daemon does.
type rankOf struct{ d *member.Duty }

// Among implements config.Ranker.
func (r rankOf) Among(key string, n int) bool {
	v := r.d.View()
	return slices.Contains(v.First(key, n), v.Self.ID)
}

// join waits until every duty counts all as alive and gives the time it took.
func (f *memberFleet) join(ctx context.Context, most time.Duration) time.Duration {
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < most && !f.complete() {
		wait(ctx, 20*time.Millisecond)
	}
	return time.Since(start)
}

func (f *memberFleet) complete() bool {
	for _, d := range f.duties {
		if alive, _ := d.View().Reachable(); alive < len(f.duties) {
			return false
		}
	}
	return true
}

// link sends for one duty. An address is the router's ID here.
type link struct {
	fleet *memberFleet
	from  wire.RouterID
}

// SendAddr implements member.Sender.
func (l link) SendAddr(addr string, m peer.Message) { l.Send(wire.RouterID(strings.Clone(addr)), m) }

// Send implements member.Sender: a frame for each message, decoded on the other side.
func (l link) Send(to wire.RouterID, m peer.Message) {
	f := new(wire.Frame)
	m(f)
	b, err := wire.Encode(f)
	if err != nil || to == l.from {
		return
	}
	l.fleet.bytes.Add(int64(len(b)))
	l.fleet.frames.Add(1)
	if decoded, err := wire.Decode(b); err == nil {
		l.fleet.at[to].HandleFrame(l.from, decoded)
	}
}
