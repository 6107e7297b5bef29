package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["taken"] = playTaken
}

// The case of streams that are taken up again after all routers were killed, while two software versions are in service.
const (
	draftEngines  = 8
	draftReplaced = 3 // of draftEngines
	draftSlots    = 64
	draftEvents   = 55
	draftGap      = 100 * time.Millisecond
	draftWait     = 12 * time.Second
	draftRouters  = 2
	draftStreams  = 40
	// releaseGap is the time between two replacements, drainTime how long an engine that leaves serves on.
	releaseGap = time.Second
	drainTime  = 2500 * time.Millisecond
	// settleTime is the time after the release until streams begin at both versions.
	settleTime = 8 * time.Second
	// begunTime is the age of the streams as the routers are killed, killedFor how long these are away.
	begunTime = 1500 * time.Millisecond
	killedFor = 2 * time.Second
	// minTaken is the number of streams from which on the rule counts.
	minTaken  = 12
	touchTime = contactTime + 500*time.Millisecond
)

// drafts are the streams of the case.
type drafts struct{ d *deployment }

// begin asks for a stream, or for the rest of the one that the first attempt began.
func (s *drafts) begin(ctx context.Context, name string, n int, first string, after int, left time.Duration) answer {
	id := fmt.Sprintf("%s-%d", name, n)
	header := map[string]string{"Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Model": "m", "Token-Counts": "1460,385", "Length-Hint": "385", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", n)}
	if after > 0 {
		header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(after), first
	}
	s.d.linef("%s is sent, after event %d", id, after)
	a := send(ctx, call{id: id, addr: s.d.gateways[n%len(s.d.gateways)].addr("Front"), path: "/lohu930/draft", limit: left, header: header})
	message := ""
	if a.status != 200 {
		message = strings.TrimSpace(a.body)
	}
	s.d.linef("%s gets status %d, up to event %d, whole %t, %q, %v", id, a.status, a.events, a.whole, message, a.err)
	return a
}

// all runs f for each stream at once.
func all(f func(n int)) {
	var streams sync.WaitGroup
	for n := range draftStreams {
		streams.Go(func() { f(n) })
	}
	streams.Wait()
}

// release replaces engines one after the other by such of another software version: the new one starts first.
func (d *deployment) release(ctx context.Context, old []*engine, w work) error {
	for n, e := range old {
		if _, err := d.startEngine(fmt.Sprintf("i-9b80eb%02x", n), e.service, e.slots, w, nil); err != nil {
			return err
		}
		e.leave(drainTime)
		if !pause(ctx, releaseGap) {
			break
		}
	}
	return nil
}

// playTaken kills all routers while streams of two software versions run, and has their requesters take them up again.
func playTaken(ctx context.Context, d *deployment) (held bool, err error) {
	d.declare([]any{map[string]any{"Name": "r-draft", "Host": host, "Prefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 12000, "SloMs": 600, "Priority": 1,
		"Service": "huvo11a", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapAimMs": 300}},
		[]any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{
			"Slots": draftSlots, "KvCapacity": 467808, "KvTokenBytes": 327680, "LinkMbps": 740000.0, "Stride": 7}}})
	w := work{before: 40 * time.Millisecond, gap: draftGap, events: draftEvents}
	var engines []*engine
	for n := range draftEngines {
		e, err := d.startEngine(fmt.Sprintf("i-7f3a91%02x", n), "huvo11a", draftSlots, w, nil)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := d.startGateways(ctx, draftRouters); err != nil {
		return false, err
	}
	w.software = "v2"
	if err := d.release(ctx, engines[:draftReplaced], w); err != nil {
		return false, err
	}
	pause(ctx, settleTime)
	s := &drafts{d: d}
	begun := make([]answer, draftStreams)
	var running sync.WaitGroup
	running.Go(func() { all(func(n int) { begun[n] = s.begin(ctx, "draft", n, "", 0, draftWait) }) })
	pause(ctx, begunTime)
	if d.trouble {
		if err := d.killAll(ctx); err != nil {
			return false, err
		}
	}
	running.Wait()
	if !d.trouble {
		return s.allWhole(begun), nil
	}
	return s.takeUp(ctx, begun)
}

// killAll kills all routers at once and starts them again, and returns once they are in touch.
func (d *deployment) killAll(ctx context.Context) error {
	d.linef("all routers are killed")
	var killed sync.WaitGroup
	for _, g := range d.gateways {
		killed.Go(g.kill)
	}
	killed.Wait()
	pause(ctx, killedFor)
	for _, g := range d.gateways {
		if err := g.start(false); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(ctx); err != nil {
			return err
		}
	}
	pause(ctx, touchTime)
	return nil
}

// takeUp takes the streams up again and begins as many new ones, and reports whether enough of them go on.
func (s *drafts) takeUp(ctx context.Context, begun []answer) (held bool, err error) {
	var mu sync.Mutex
	taken, wentOn, began := 0, 0, 0
	all(func(n int) {
		left := draftWait - time.Since(begun[n].sentAt)
		if begun[n].events == 0 || begun[n].whole || left < time.Duration(draftEvents-begun[n].events)*draftGap {
			return // nothing to go on with, or not the time for it
		}
		a := s.begin(ctx, "again", n, fmt.Sprintf("draft-%d", n), begun[n].events, left)
		mu.Lock()
		defer mu.Unlock()
		taken++
		if a.status == 200 && a.events > begun[n].events {
			wentOn++
		}
	})
	all(func(n int) {
		a := s.begin(ctx, "new", n, "", 0, draftWait)
		mu.Lock()
		defer mu.Unlock()
		if a.status == 200 && a.events > 0 {
			began++
		}
	})
	s.d.notef("%d streams are taken up again, %d go on; %d of %d new ones begin", taken, wentOn, began, draftStreams)
	if taken < minTaken || began == 0 {
		return false, fmt.Errorf("too few streams")
	}
	return 2*wentOn*draftStreams >= began*taken, nil
}

// allWhole reports whether all streams came whole.
func (s *drafts) allWhole(list []answer) bool {
	whole := 0
	for _, a := range list {
		if a.whole && a.events == draftEvents {
			whole++
		}
	}
	s.d.notef("%d of %d streams came whole", whole, len(list))
	return whole == len(list)
}
