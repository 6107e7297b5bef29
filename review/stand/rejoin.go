package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	draftPath     = "/draft/"
	draftPause    = 50 * time.Millisecond
	draftEvents   = 110
	draftDeadline = 12 * time.Second
	// draftCount streams begin at each router; killAfter is how long after that the routers are killed.
	draftCount = 20
	killAfter  = 1500 * time.Millisecond
	// powerBack is the time until killed routers start again.
	powerBack = 2 * time.Second
	// inTouch is how long after their start routers are in touch, with some time to spare.
	inTouch = contact + 500*time.Millisecond
	// leastResumed is the number of streams taken up from which on the rule counts.
	leastResumed = 12
)

// playRejoin: all routers are killed at once, and callers take their streams up again when routers are back and in
// touch.
func playRejoin(w *world) ([]string, error) {
	w.declare(route{path: draftPath, kind: "streaming", service: lmService, timeoutMs: 12000, sloMs: 600, attempts: 2, resumable: true})
	w.engineFlags = []string{"-pause", draftPause.String()}
	for i := range engineCount {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i), lmService, "1", ""); err != nil {
			return nil, err
		}
	}
	if err := w.startRouters(2); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.beatAll(stop)
	time.Sleep(settleTime)
	back := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	var resumed, fresh []answer
	for i := range 2 * draftCount {
		all.Go(func() {
			first := w.send(w.routers[i%2], draft(fmt.Sprintf("old-%d", i), 0, ""))
			if first.whole || len(first.events) == 0 {
				return
			}
			<-back
			again := w.send(w.routers[i%2], draft(fmt.Sprintf("old-%d-again", i), first.events[len(first.events)-1], first.id))
			mu.Lock()
			defer mu.Unlock()
			resumed = append(resumed, again)
		})
	}
	time.Sleep(killAfter)
	if trouble() {
		if err := w.herdKill(); err != nil {
			return nil, err
		}
		time.Sleep(inTouch)
	}
	close(back)
	for i := range 2 * draftCount {
		all.Go(func() {
			a := w.send(w.routers[i%2], draft(fmt.Sprintf("new-%d", i), 0, ""))
			mu.Lock()
			defer mu.Unlock()
			fresh = append(fresh, a)
		})
	}
	all.Wait()
	return w.checkResumed(resumed, fresh)
}

// herdKill kills all routers, or one to compare, and starts them again.
func (w *world) herdKill() error {
	killed := w.routers
	if shallow() {
		killed = killed[:1]
	}
	for _, r := range killed {
		w.signal(r, syscall.SIGKILL)
	}
	time.Sleep(powerBack)
	for _, r := range killed {
		_ = r.cmd.Wait() // it was killed
		if err := w.restartRouter(r); err != nil {
			return err
		}
		w.note("%s starts again", r.name)
	}
	deadline := time.Now().Add(startWait)
	for _, r := range killed {
		if err := w.waitReady(r, len(w.routers), deadline); err != nil {
			return err
		}
	}
	return nil
}

func draft(id string, after int, first string) request {
	return request{id: id, path: draftPath, deadline: draftDeadline, body: "draft", after: after, first: first,
		prompt: fmt.Sprintf("300,%d", draftEvents), parts: fmt.Sprintf("aa01:100,bb01:80,cc%x:120", id)}
}

// checkResumed compares the streams that went on with the new ones that began.
func (w *world) checkResumed(resumed, fresh []answer) ([]string, error) {
	went, began := share(resumed), share(fresh)
	result := fmt.Sprintf("of %d streams taken up again %.2f went on, of %d new ones %.2f began; %d engines of their version served", len(resumed), went, len(fresh), began, len(w.running()))
	w.note("%s", result)
	switch {
	case !trouble() && len(resumed) > 0:
		return nil, fmt.Errorf("%d streams broke without a disruption", len(resumed))
	case trouble() && (len(resumed) < leastResumed || began == 0):
		return nil, fmt.Errorf("too little to judge: %s", result)
	case len(resumed) >= leastResumed && went < began/2:
		return []string{result}, nil
	}
	return nil, nil
}

// share is the share of streams of which an event came.
func share(list []answer) float64 {
	n := 0
	for _, a := range list {
		if len(a.events) > 0 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(list)))
}
