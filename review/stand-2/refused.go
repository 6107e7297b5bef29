package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["refused"] = playRefused
}

// The case of engines that fail requests which they have run.
const (
	ledgerEngines = 7
	ledgerSlots   = 6
	ledgerPause   = 30 * time.Millisecond
	ledgerTime    = 30 * time.Second
	// The engines fail greyShare of their requests for greyTime, from greyAfter on.
	greyShare = 0.45
	greyAfter = 10 * time.Second
	greyTime  = 4 * time.Second
)

// ledger counts what became of requests that may run once at most.
type ledger struct {
	d *deployment

	mu       sync.Mutex
	statuses map[int]int
	// ran holds the requests that an engine has run, promised those that were answered with a promise that they
	// did not run and never will.
	ran      map[string]bool
	promised []string
	// orders are how often the work of each requester has run, over its attempts.
	orders map[int]int
}

func (l *ledger) noteRun(id string, order int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id] = true
	l.orders[order]++
}

// post sends a request, and once more after a promise that it did not run.
func (l *ledger) post(ctx context.Context, order int) {
	for attempt := range 2 {
		id := fmt.Sprintf("post-%d-%d", order, attempt)
		g := l.d.gateways[(order+attempt)%len(l.d.gateways)]
		l.d.linef("%s is sent", id)
		a := send(ctx, call{id: id, addr: g.addr("Front"), path: "/puxa403/post", limit: time.Second, header: map[string]string{"Deadline-Ms": "1000"}})
		l.d.linef("%s gets status %d, of its engine %t, %v", id, a.status, a.own, a.err)
		l.mu.Lock()
		l.statuses[a.status]++
		promise := a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421
		if promise {
			l.promised = append(l.promised, id)
		}
		l.mu.Unlock()
		if !promise {
			return
		}
	}
}

// playRefused sends requests that may run once at most, while for some seconds the engines fail a part of those that
// they have run.
func playRefused(ctx context.Context, d *deployment) (held bool, err error) {
	d.declare([]any{map[string]any{"Name": "r-post", "Host": host, "Prefix": "/puxa403/", "Kind": "unsafe", "TimeoutMs": 1000, "SloMs": 150, "Priority": 0,
		"Service": "wuno96b", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false}},
		[]any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 96}})
	l := &ledger{d: d, statuses: make(map[int]int), ran: make(map[string]bool), orders: make(map[int]int)}
	failed := func() float64 {
		if since := time.Since(d.start) - greyAfter; !d.trouble || since < 0 || since > greyTime {
			return 0
		}
		return greyShare
	}
	for n := range ledgerEngines {
		w := work{before: 30 * time.Millisecond, plain: true, failed: failed, ran: func(id string) {
			var order, attempt int
			if _, err := fmt.Sscanf(id, "post-%d-%d", &order, &attempt); err == nil {
				l.noteRun(id, order)
			}
		}}
		if _, err := d.startEngine(fmt.Sprintf("i-02d9e6%02x", n), "wuno96b", ledgerSlots, w, nil); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(ctx, 3); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < ledgerTime && pause(ctx, ledgerPause); n++ {
		callers.Go(func() { l.post(ctx, n) })
	}
	callers.Wait()
	falsely, twice := 0, 0
	for _, id := range l.promised {
		if l.ran[id] {
			falsely++
		}
	}
	for _, n := range l.orders {
		if n > 1 {
			twice++
		}
	}
	d.notef("answers by status: %v", l.statuses)
	d.notef("%d requests were answered with a promise, %d of them have run", len(l.promised), falsely)
	d.notef("%d orders have run twice, as their requesters trusted the promise", twice)
	return falsely == 0, nil
}
