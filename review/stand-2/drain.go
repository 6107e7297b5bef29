package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["drain"] = playDrain
}

// The case of streams without a prompt at routers that are stopped in turn.
const (
	feedEngines = 4
	feedSlots   = 200
	feedEvents  = 20
	feedGap     = 250 * time.Millisecond
	// feedWait is how long a requester waits.
	feedWait   = 12 * time.Second
	requesters = 40
	feedPause  = 500 * time.Millisecond
	// One in keepLonger requesters keeps the answer of the directory keepFactor times as long, and none counts more
	// than maxTTL of it.
	keepLonger = 3
	keepFactor = 3
	maxTTL     = 5 * time.Second

	rollRouters = 3
	rollAfter   = 6 * time.Second
	rollGap     = 2 * time.Second
	rolls       = 3
	rollTime    = 24 * time.Second
	// excusedUntil is the time after SIGTERM up to which requests may be cut as the grace period ends.
	excusedUntil = 3 * time.Second
)

// sentStream is a stream that a requester asked for, and what became of it.
type sentStream struct {
	id, addr string
	answer
}

// feeds are the requesters of the case.
type feeds struct {
	d       *deployment
	callers sync.WaitGroup

	mu   sync.Mutex
	sent []sentStream
}

// requester asks for streams until ctx ends. It uses the addresses of the directory's last answer for as long as that
// is kept, and longer while no node gives another one.
func (f *feeds) requester(ctx, requests context.Context, n int) {
	keep := 1
	if n%keepLonger == 0 {
		keep = keepFactor
	}
	var known resolved
	var until time.Time
	failed := new(failedAddrs)
	if !pause(ctx, rand.N(keepFactor*time.Second)) {
		return
	}
	for i := 0; pause(ctx, feedPause); i++ {
		if !time.Now().Before(until) {
			if r, asked, ok := f.resolve(ctx, n); ok {
				failed.clear()
				known, until = r, asked.Add(time.Duration(keep)*min(maxTTL, time.Duration(r.TtlS*float64(time.Second))))
			}
		}
		addrs := failed.without(known.Addrs)
		if len(addrs) == 0 {
			until = time.Time{} // all have failed
			continue
		}
		s := sentStream{id: fmt.Sprintf("feed-%d-%d", n, i), addr: addrs[rand.IntN(len(addrs))]}
		f.callers.Go(func() {
			if !f.request(requests, s) {
				failed.add(s.addr)
			}
		})
	}
}

// resolve asks up to three nodes, and returns the first answer with addresses and when it was asked for.
func (f *feeds) resolve(ctx context.Context, n int) (r resolved, asked time.Time, ok bool) {
	for i := range f.d.gateways {
		asked = time.Now()
		r, err := resolve(ctx, f.d.gateways[(n/keepLonger+i)%len(f.d.gateways)].addr("Directory"))
		if err == nil && len(r.Addrs) > 0 {
			return r, asked, true
		}
	}
	return resolved{}, asked, false
}

// request asks for a stream, and reports whether it came whole.
func (f *feeds) request(ctx context.Context, s sentStream) bool {
	f.d.linef("%s is sent to %s", s.id, s.addr)
	s.answer = send(ctx, call{id: s.id, addr: s.addr, path: "/cufi504/feed", limit: feedWait})
	f.d.linef("%s gets status %d, %d events, whole %t, %v", s.id, s.status, s.events, s.whole, s.err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, s)
	return s.status == 200 && s.whole
}

// failedAddrs are the addresses that have failed a requester since its last answer of the directory.
type failedAddrs struct {
	mu    sync.Mutex
	addrs map[string]bool
}

func (f *failedAddrs) add(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addrs == nil {
		f.addrs = make(map[string]bool)
	}
	f.addrs[addr] = true
}

func (f *failedAddrs) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.addrs)
}

// without returns the addresses that have not failed.
func (f *failedAddrs) without(list []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(list), func(addr string) bool { return f.addrs[addr] })
}

// cutAfter returns how many streams were sent to a router that was stopped from excusedUntil after SIGTERM on, and those
// of them that had begun and were cut.
func (f *feeds) cutAfter(stop stopped) (sent int, cut []sentStream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := slices.DeleteFunc(slices.Clone(f.sent), func(s sentStream) bool {
		return s.addr != stop.g.addr("Front") || s.sentAt.Sub(stop.at) <= excusedUntil || !s.sentAt.Before(stop.ended)
	})
	for _, s := range late {
		if s.status == 200 && !s.whole && s.endedAt.Sub(s.sentAt) < feedWait && s.endedAt.Sub(stop.at) < graceTime+time.Second {
			cut = append(cut, s)
		}
	}
	return len(late), cut
}

// stopped is a router that got SIGTERM, with the times of that and of its end.
type stopped struct {
	g         *gateway
	at, ended time.Time
}

// roll stops all routers in turn, and starts each again once it has ended.
func (d *deployment) roll(ctx context.Context) (list []stopped, err error) {
	var mu sync.Mutex
	var stops sync.WaitGroup
	note := func(s stopped, failed error) {
		mu.Lock()
		defer mu.Unlock()
		list = append(list, s)
		if failed != nil {
			err = failed
		}
	}
	for _, g := range d.gateways {
		stops.Go(func() {
			at, failed := g.leave()
			ended := time.Now()
			if failed == nil {
				failed = g.start(false)
			}
			note(stopped{g, at, ended}, failed)
		})
		if !pause(ctx, rollGap) {
			break
		}
	}
	stops.Wait()
	return list, err
}

// playDrain stops the routers in turn while requesters ask for streams without a prompt.
func playDrain(ctx context.Context, d *deployment) (held bool, err error) {
	d.declare([]any{map[string]any{"Name": "r-feed", "Host": host, "Prefix": "/cufi504/", "Kind": "streaming", "TimeoutMs": 12000, "SloMs": 600, "Priority": 1,
		"Service": "wuno96b", "MaxAttempts": 1, "Public": false, "Sticky": false, "Resumable": false, "GapAimMs": 500}},
		[]any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 960}})
	for n := range feedEngines {
		if _, err := d.startEngine(fmt.Sprintf("i-02d9e6%02x", n), "wuno96b", feedSlots, work{before: 20 * time.Millisecond, gap: feedGap, events: feedEvents}, nil); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(ctx, rollRouters); err != nil {
		return false, err
	}
	f := &feeds{d: d}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	for n := range requesters {
		f.callers.Go(func() { f.requester(asking, ctx, n) })
	}
	var stops []stopped
	for range rolls {
		began := time.Now()
		if d.trouble && pause(ctx, rollAfter) {
			list, err := d.roll(ctx)
			if err != nil {
				return false, err
			}
			stops = append(stops, list...)
		}
		pause(ctx, time.Until(began.Add(rollTime)))
	}
	stop()
	f.callers.Wait()
	if !d.trouble {
		return f.allWhole(), nil
	}
	return f.judge(stops), nil
}

// judge reports whether no stream was cut that had to be answered.
func (f *feeds) judge(stops []stopped) bool {
	held := true
	for _, s := range stops {
		late, cut := f.cutAfter(s)
		f.d.notef("%s: %d streams sent later than %v after SIGTERM, %d of them begun and cut", s.g.name, late, excusedUntil, len(cut))
		for _, c := range cut {
			held = false
			f.d.linef("cut: %s, sent %.3f s after SIGTERM, %d of %d events, ended %.3f s after SIGTERM: %v",
				c.id, c.sentAt.Sub(s.at).Seconds(), c.events, feedEvents, c.endedAt.Sub(s.at).Seconds(), c.err)
		}
	}
	return held
}

// allWhole reports whether all streams came whole.
func (f *feeds) allWhole() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	whole := 0
	for _, s := range f.sent {
		if s.whole && s.events == feedEvents {
			whole++
		}
	}
	f.d.notef("%d of %d streams came whole", whole, len(f.sent))
	return whole == len(f.sent)
}
