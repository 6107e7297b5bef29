package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["unframed"] = playUnframed
}

// The case of a part of prompts that crashes engines, which end their answers with the connection.
const (
	tagEngines = 6
	tagSlots   = 32
	tagEvents  = 3
	engineBack = 2500 * time.Millisecond
	calmTime   = 8 * time.Second
	judgedTime = 12 * time.Second
	soundPause = 50 * time.Millisecond
	badPause   = 500 * time.Millisecond
	// crashLimit is the number of crashes from which on the rules count.
	crashLimit = 5
	crashTime  = 30 * time.Second
	minJudged  = 20

	systemPart  = "5c1e07a2"
	formatPart  = "91bd3f06"
	badDocument = "e4402b7d"
)

// promptParts returns the parts of a prompt around a document; own is the part that no other request has.
func promptParts(document, own string) string {
	return fmt.Sprintf("%s:568,%s:1200,%s:300,%s:300", systemPart, document, formatPart, own)
}

// share counts sound requests and those of them that began at the first attempt.
type share struct {
	mu          sync.Mutex
	sent, began int
	statuses    map[int]int
}

func newShare() *share { return &share{statuses: make(map[int]int)} }

func (s *share) add(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if a.status == 200 && a.own && a.events > 0 {
		s.began++
	}
	s.statuses[a.status]++
}

func (s *share) value() float64 { return float64(s.began) / float64(max(1, s.sent)) }

// tagging sends the requests of a case to the routers in turn.
type tagging struct {
	d *deployment
	// framed is whether the engines answer in chunks.
	framed  bool
	sent    atomic.Int64
	started atomic.Int64
	callers sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	// arrivals are the times at which requests with the part reached engines.
	arrivals []time.Time
}

// startEngine starts an engine; another one takes its place after it has crashed.
func (t *tagging) startEngine() error {
	n := t.started.Add(1)
	w := work{before: 40 * time.Millisecond, gap: 15 * time.Millisecond, events: tagEvents, unframed: !t.framed, crashPart: badDocument, arrived: t.noteArrival}
	_, err := t.d.startEngine(fmt.Sprintf("i-7f3a91%02x", n), "huvo11a", tagSlots, w, func() {
		t.mu.Lock()
		t.crashes = append(t.crashes, time.Now())
		t.mu.Unlock()
		time.AfterFunc(engineBack, func() {
			if t.d.running.Err() == nil && t.startEngine() != nil {
				t.d.linef("an engine can't be started")
			}
		})
	})
	return err
}

func (t *tagging) noteArrival(prefix string) {
	if !hasPart(prefix, badDocument) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, time.Now())
}

// crashed returns the number of crashes, and the time of the fifth, or of the last if there are fewer.
func (t *tagging) crashed() (n int, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n = len(t.crashes); n == 0 {
		return 0, t.d.start
	}
	return n, t.crashes[min(n, crashLimit)-1]
}

// arrivedAfter returns the number of requests with the part that reached engines after a time.
func (t *tagging) arrivedAfter(after time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.arrivals {
		if at.After(after) {
			n++
		}
	}
	return n
}

// send sends a request whose prompt has the document of this ID.
func (t *tagging) send(ctx context.Context, kind, document string) answer {
	n := t.sent.Add(1)
	id := fmt.Sprintf("%s-%d", kind, n)
	c := call{id: id, addr: t.d.gateways[int(n)%len(t.d.gateways)].addr("Front"), path: "/pufi791/tag", limit: 2500 * time.Millisecond, header: map[string]string{
		"Model": "m", "Token-Counts": "2368,21", "Length-Hint": "21", "Deadline-Ms": "2500", "Prefix-Hash": promptParts(document, fmt.Sprintf("%08x", n)),
	}}
	t.d.linef("%s is sent", id)
	a := send(ctx, c)
	message := ""
	if a.status != 200 {
		message = strings.TrimSpace(a.body)
	}
	t.d.linef("%s gets status %d, %d events, whole %t, %q, %v", id, a.status, a.events, a.whole, message, a.err)
	return a
}

// soundFor sends sound requests, no two alike, for a time.
func (t *tagging) soundFor(ctx context.Context, span time.Duration) *share {
	count := newShare()
	var callers sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < span && pause(ctx, soundPause); n++ {
		callers.Go(func() { count.add(t.send(ctx, "sound", fmt.Sprintf("d0c%05x", n%7))) })
	}
	callers.Wait()
	return count
}

// badUntil sends requests with the part that crashes engines until ctx ends.
func (t *tagging) badUntil(ctx, requests context.Context) {
	for pause(ctx, badPause) {
		t.callers.Go(func() { t.send(requests, "crashing", badDocument) })
	}
}

// playUnframed sends sound requests, and then some with a part that crashes engines beside them. With FRAMED=1 the
// engines answer in chunks.
func playUnframed(ctx context.Context, d *deployment) (held bool, err error) {
	d.declare([]any{map[string]any{"Name": "r-tag", "Host": host, "Prefix": "/pufi791/", "Kind": "streaming", "TimeoutMs": 2500, "SloMs": 400, "Priority": 1,
		"Service": "huvo11a", "MaxAttempts": 1, "Public": false, "Sticky": true, "Resumable": false, "GapAimMs": 300}},
		[]any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{
			"Slots": tagSlots, "KvCapacity": 467808, "KvTokenBytes": 327680, "LinkMbps": 740000.0, "Stride": 7}}})
	t := &tagging{d: d, framed: os.Getenv("FRAMED") == "1"}
	for range tagEngines {
		if err := t.startEngine(); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(ctx, 3); err != nil {
		return false, err
	}
	calm := t.soundFor(ctx, calmTime)
	bad, stopBad := context.WithCancel(ctx)
	defer stopBad()
	if d.trouble {
		t.callers.Go(func() { t.badUntil(bad, ctx) })
	}
	for began := time.Now(); d.trouble && time.Since(began) < crashTime && ctx.Err() == nil; {
		if n, _ := t.crashed(); n >= crashLimit {
			break
		}
		t.soundFor(ctx, 200*time.Millisecond)
	}
	n, fifth := t.crashed()
	d.notef("%d engines have crashed", n)
	for time.Since(fifth) < 2*contactTime && ctx.Err() == nil {
		t.soundFor(ctx, 200*time.Millisecond)
	}
	beside := t.soundFor(ctx, judgedTime)
	stopBad()
	t.callers.Wait()
	late := t.arrivedAfter(fifth.Add(contactTime))
	n, _ = t.crashed()
	d.notef("sound requests before: %d of %d began", calm.began, calm.sent)
	d.notef("sound requests from %v after the fifth crash on: %d of %d began, answers by status: %v", 2*contactTime, beside.began, beside.sent, beside.statuses)
	d.notef("requests with the part that reached engines later than %v after the fifth crash: %d; %d engines crashed in all", contactTime, late, n)
	if calm.sent < minJudged || beside.sent < minJudged || calm.began == 0 || d.trouble && n == 0 {
		return false, fmt.Errorf("too few requests")
	}
	return beside.value() >= calm.value()/2, nil
}
