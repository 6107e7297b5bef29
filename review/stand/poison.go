package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	crashPart = "dead"
	// firstCrashes is the number of crashes from which on the rule counts, mostAfter the number of requests that may
	// reach engines after contact.
	firstCrashes = 5
	mostAfter    = 3
	// engineBack is the time until a crashed engine is back.
	engineBack = 2 * time.Second
	poisonPath = "/chat/"
	// settleTime is the time that routers have to learn what the others know.
	settleTime = 3 * time.Second
	// deepPlace is the place of the part in long prompts, counted from 0.
	deepPlace  = 36
	deepEvery  = 500 * time.Millisecond
	deepFor    = 14 * time.Second
	splitEvery = 300 * time.Millisecond
	splitFor   = 8 * time.Second
)

// preparePoison starts engines of the services in turn, which crash under a part of prompts, and two routers that get
// sound requests until stop is closed.
func preparePoison(w *world, stop <-chan struct{}, services ...string) error {
	w.declare(route{path: poisonPath, kind: "streaming", service: services[0], also: services[1:], timeoutMs: 10000, sloMs: 300, attempts: 1})
	w.engineFlags = []string{"-pause", "30ms"}
	if trouble() {
		w.engineFlags = append(w.engineFlags, "-crash-part", crashPart)
	}
	w.crashed = w.comeBack
	for i := range engineCount {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i), services[i%len(services)], "1", ""); err != nil {
			return err
		}
	}
	if err := w.startRouters(2); err != nil {
		return err
	}
	go w.beatAll(stop)
	go w.sendSound(stop)
	time.Sleep(settleTime)
	return nil
}

// shallow reports whether the part is put where it is usually, to compare.
func shallow() bool { return os.Getenv("SHALLOW") == "1" }

// playDeep: a part that crashes engines stands far back in long prompts.
func playDeep(w *world) ([]string, error) {
	stop := make(chan struct{})
	defer close(stop)
	if err := preparePoison(w, stop, lmService); err != nil {
		return nil, err
	}
	var all sync.WaitGroup
	n := 0
	for began := time.Now(); time.Since(began) < deepFor; time.Sleep(deepEvery) {
		parts := []string{"aa01:100"}
		for i := 1; i < deepPlace && !shallow(); i++ {
			parts = append(parts, fmt.Sprintf("%x%02x:8", 0x7000+n, i))
		}
		w.sendPoison(&all, w.routers[n%2], fmt.Sprintf("deep-%d", n), strings.Join(parts, ","))
		n++
	}
	time.Sleep(time.Second)
	return w.checkCrashes()
}

// playServices: requests with a part that crashes engines go to two services.
func playServices(w *world) ([]string, error) {
	stop := make(chan struct{})
	defer close(stop)
	services := []string{lmService, secondService}
	if shallow() {
		services = services[:1]
	}
	if err := preparePoison(w, stop, services...); err != nil {
		return nil, err
	}
	var all sync.WaitGroup
	n := 0
	send := func() {
		w.sendPoison(&all, w.routers[n%2], fmt.Sprintf("bad-%d", n), "aa01:100")
		n++
		time.Sleep(splitEvery)
	}
	for n < 2*firstCrashes && len(w.crashes()) < firstCrashes {
		send()
	}
	time.Sleep(contact)
	for began := time.Now(); time.Since(began) < splitFor; {
		send()
	}
	time.Sleep(time.Second)
	return w.checkCrashes()
}

// checkCrashes counts the requests with the part that reached engines later than contact after the fifth crash.
func (w *world) checkCrashes() ([]string, error) {
	crashes := w.crashes()
	if len(crashes) < firstCrashes {
		if trouble() {
			return nil, fmt.Errorf("engines crashed %d times", len(crashes))
		}
		return nil, nil
	}
	late := 0
	for _, c := range crashes {
		if c.At.After(crashes[firstCrashes-1].At.Add(contact)) {
			late++
		}
	}
	result := fmt.Sprintf("%d requests with the part reached engines later than %v after the fifth crash, of %d in all", late, contact, len(crashes))
	w.note("%s", result)
	if late > mostAfter {
		return []string{result}, nil
	}
	return nil, nil
}

// comeBack starts a crashed engine again, as a new incarnation.
func (w *world) comeBack(p *engineProcess) {
	time.Sleep(engineBack)
	if _, err := w.startEngine(p.id+"x", p.service, p.software, p.addr); err != nil {
		w.note("%s isn't back: %v", p.id, err)
	}
	time.Sleep(entryExpires - engineBack)
	w.store.Drop("servers", p.id)
}

// sendPoison sends a request whose prompt has the part that crashes engines after the given ones.
func (w *world) sendPoison(all *sync.WaitGroup, r *router, id, before string) {
	all.Go(func() {
		w.send(r, request{id: id, path: poisonPath, deadline: chatDeadline, body: id, prompt: "600,20", parts: fmt.Sprintf("%s,%s:80,ee%x:120", before, crashPart, id)})
	})
}

// soundEvery is the time between two sound requests.
const soundEvery = 50 * time.Millisecond

// sendSound sends sound requests, which share the first part with the others, to both routers in turn.
func (w *world) sendSound(stop <-chan struct{}) {
	tick := time.NewTicker(soundEvery)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		go w.send(w.routers[i%2], request{id: fmt.Sprintf("sound-%d", i), path: poisonPath, deadline: chatDeadline, body: "sound", prompt: "300,20",
			parts: fmt.Sprintf("aa01:100,bb%02x:80,cc%04x:120", i%8, i)})
	}
}

// crashes returns the crashes so far.
func (w *world) crashes() []report {
	var list []report
	for _, r := range w.list() {
		if r.What == "crashed" {
			list = append(list, r)
		}
	}
	return list
}
