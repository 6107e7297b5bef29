package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["bare"] = playBare
}

// The case of engines that hand out wrong bytes.
const (
	bareEngines = 5
	bareSpoiled = 3 // of bareEngines
	bareShare   = 0.03
	bareSlots   = 6
	barePause   = 100 * time.Millisecond
	bareTime    = 70 * time.Second
	bareAfter   = 8 * time.Second
	// The engines are faulty bareTimes times for bareFor, once every bareEvery.
	bareFor   = 5 * time.Second
	bareEvery = 6 * time.Second
	bareTimes = 10
)

// bareAnswer is what a faulty engine sends in place of an answer. It names no request and has no stamp.
const bareAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"

// playBare sends requests that may run once at most while some engines send bytes in place of answers that belong to no
// request.
func playBare(ctx context.Context, d *deployment) (held bool, err error) {
	d.declare([]any{map[string]any{"Name": "r-post", "Host": host, "Prefix": "/puxa403/", "Kind": "unsafe", "TimeoutMs": 1000, "SloMs": 150, "Priority": 0,
		"Service": "wuno96b", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false}},
		[]any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 96}})
	spoiled := func() float64 {
		if since := time.Since(d.start) - bareAfter; !d.trouble || since < 0 || since > bareTimes*bareEvery || since%bareEvery > bareFor {
			return 0
		}
		return bareShare
	}
	for n := range bareEngines {
		w := work{before: 30 * time.Millisecond, plain: true, idle: time.Second}
		if n < bareSpoiled {
			w.spoiled = spoiled
		}
		if _, err := d.startEngine(fmt.Sprintf("i-02d9e6%02x", n), "wuno96b", bareSlots, w, nil); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(ctx, 3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	statuses, unstamped := make(map[int]int), 0
	var callers sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < bareTime && pause(ctx, barePause); n++ {
		callers.Go(func() {
			id := fmt.Sprintf("post-%d", n)
			d.linef("%s is sent", id)
			a := send(ctx, call{id: id, addr: d.gateways[n%len(d.gateways)].addr("Front"), path: "/puxa403/post", limit: time.Second, header: map[string]string{"Deadline-Ms": "1000"}})
			d.linef("%s gets status %d, with its stamp %t, %q, %v", id, a.status, a.own, a.body, a.err)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status >= 200 && a.status < 300 && !a.own {
				unstamped++
			}
		})
	}
	callers.Wait()
	d.notef("engines sent wrong bytes %d times; answers by status: %v; %d successes without the stamp of an engine", d.spoiled.Load(), statuses, unstamped)
	if statuses[200] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return unstamped == 0, nil
}
