package affinity

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// fakeView is a view that tests set.
type fakeView struct {
	rev  int64
	age  time.Duration
	peer PeerView
	// longest is the longest timeout of streams.
	longest time.Duration
	// unconfigured says that there is no configuration yet.
	unconfigured bool
	// describing is called as the other routers are described, after the revision was read; nil for nothing.
	describing func()
}

func (v *fakeView) ListRevision() int64 { return v.rev }

func (v *fakeView) ListAge(time.Time) time.Duration { return v.age }

func (v *fakeView) LongestStream() (time.Duration, bool) { return v.longest, !v.unconfigured }

func (v *fakeView) Peers(time.Time) PeerView {
	if v.describing != nil {
		v.describing()
	}
	return v.peer
}

// fixture is a tracker at a time that tests advance.
type fixture struct {
	*Tracker
	view  *fakeView
	now   time.Time
	reply Reply
	asked int
}

// newFixture returns the tracker of a router that founded its fleet, whose peers are current.
func newFixture() *fixture {
	f := &fixture{view: &fakeView{rev: 1, peer: PeerView{Floor: math.MaxInt64, Complete: true, Current: true}}, now: time.Unix(1000, 0)}
	f.Tracker = NewTracker(f.view, func(context.Context, Question) Reply { f.asked++; return f.reply }, f.now, &log.Logger{Handler: discard.New()})
	f.MarkFounded()
	f.startedAt = f.now.Add(-time.Hour)
	return f
}

func (f *fixture) list(versions ...string) {
	var list []upstream.Instance
	for i, v := range versions {
		list = append(list, upstream.Instance{ID: upstream.ID(rune('a' + i)), Service: "s", Software: v, State: upstream.Ready})
	}
	f.SetUpstreams(upstream.NewSet(list), f.now, f.now)
}

func (f *fixture) instance(version string) *upstream.Instance {
	return &upstream.Instance{Service: "s", Software: version}
}

func (f *fixture) find(first string) Binding {
	b, _ := f.Find(context.Background(), Query{Organisation: "o", FirstAttempt: first, Services: []string{"s"}, Service: "s"}, f.now)
	return b
}

func bound(version string, source Source) Binding {
	return Binding{Service: "s", Version: version, Source: source}
}

var unknown = Binding{Service: "s", Source: Unknown}

// outage lets time pass in which the list isn't renewed, while all other routers are heard of or not.
func (f *fixture) outage(length time.Duration, heard bool) {
	for range length / time.Second {
		f.now, f.view.age = f.now.Add(time.Second), f.view.age+time.Second
		if heard {
			f.view.peer.HeardAt = f.now
		}
		f.Observe(f.now)
	}
}
