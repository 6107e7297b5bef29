package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["foreign"] = playForeign
}

// The case of a list entry from another writer.
const (
	ledgerService = "wuno96b"
	noticeService = "xano55b"
	ledgerPath    = "/puxa403/"
	noticePath    = "/cufi504/"
	appEngines    = 4
	appSlots      = 6
	appPause      = 5 * time.Millisecond
	appTime       = 20 * time.Second
	foreignAfter  = 8 * time.Second
	foreignEvery  = 3 * time.Second
	foreignWrites = 3
)

// appRuns are the runs of requests at two services.
type appRuns struct {
	d *deployment

	mu sync.Mutex
	// wrong are the runs at a service to which the configuration doesn't lead, right the number of the others.
	wrong []string
	right int
	// believed are requests with such a run whose requesters got the engine's success.
	believed int
}

// note records a run of a request that a route sends to one service at an engine of another one or of the same.
func (a *appRuns) note(id, service, engine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if strings.HasPrefix(id, service) {
		a.right++
		return
	}
	a.wrong = append(a.wrong, id)
	a.d.linef("%s has run at engine %s of service %s", id, engine, service)
}

func (a *appRuns) isWrong(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.wrong {
		if w == id {
			return true
		}
	}
	return false
}

// post sends a request to one of the two services.
func (a *appRuns) post(ctx context.Context, n int) {
	service, path := ledgerService, ledgerPath
	if n%2 == 1 {
		service, path = noticeService, noticePath
	}
	id := fmt.Sprintf("%s-%d", service, n)
	a.d.linef("%s is sent", id)
	got := send(ctx, call{id: id, addr: a.d.gateways[n%len(a.d.gateways)].addr("Front"), path: path + "post", limit: time.Second, header: map[string]string{"Deadline-Ms": "1000"}})
	a.d.linef("%s gets status %d, of its engine %t, %v", id, got.status, got.own, got.err)
	if got.status == 200 && a.isWrong(id) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.believed++
	}
}

// playForeign sends requests to two services while another writer replaces the entry of one engine by one that lacks
// fields. The engine writes its own entry again with its next heartbeat.
func playForeign(ctx context.Context, d *deployment) (held bool, err error) {
	route := func(path, service string) map[string]any {
		return map[string]any{"Name": "r-" + service, "Host": host, "Prefix": path, "Kind": "unsafe", "TimeoutMs": 1000, "SloMs": 150, "Priority": 0,
			"Service": service, "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false}
	}
	d.declare([]any{route(ledgerPath, ledgerService), route(noticePath, noticeService)},
		[]any{map[string]any{"Name": ledgerService, "HealthPath": "/health", "MaxConns": 96}, map[string]any{"Name": noticeService, "HealthPath": "/health", "MaxConns": 96}})
	a := &appRuns{d: d}
	var replaced *engine
	for n := range 2 * appEngines {
		service, id := ledgerService, fmt.Sprintf("i-02d9e6%02x", n)
		if n >= appEngines {
			service = noticeService
		}
		e, err := d.startEngine(id, service, appSlots, work{before: 60 * time.Millisecond, plain: true, ran: func(request string) { a.note(request, service, id) }}, nil)
		if err != nil {
			return false, err
		}
		replaced = e
	}
	if err := d.startGateways(ctx, 3); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	if d.trouble {
		callers.Go(func() {
			if !pause(ctx, foreignAfter) {
				return
			}
			for range foreignWrites {
				d.linef("another writer replaces the entry of engine %s of service %s", replaced.id, replaced.service)
				d.store.Put("servers", replaced.id, map[string]any{"Service": ledgerService, "Addr": replaced.addr, "Zone": zone, "Slots": appSlots, "State": "ready"})
				pause(ctx, foreignEvery)
			}
		})
	}
	for began, n := time.Now(), 0; time.Since(began) < appTime && pause(ctx, appPause); n++ {
		callers.Go(func() { a.post(ctx, n) })
	}
	callers.Wait()
	d.notef("%d runs at the service of their route, %d at the other one; %d of these were answered with the success of that engine", a.right, len(a.wrong), a.believed)
	if a.right == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return len(a.wrong) == 0, nil
}
