package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// Streams of the kind of captain-chat: up to 136 events, which may not be resumed.
	chatEvents    = 130
	chatPause     = 40 * time.Millisecond
	chatStreams   = 440
	chatSpread    = 3000 * time.Millisecond
	chatDeadline  = 10 * time.Second
	engineCount   = 8
	unframedEvery = 20
	// spotNotice is the time from an engine's notice until it is gone.
	spotNotice = 2 * time.Second
)

const chatPath = "/chat/"

// prepareChats starts eight engines of which each twentieth answer is unframed, and routers.
func prepareChats(w *world, routers int) error {
	w.declare(route{path: chatPath, kind: "streaming", service: lmService, timeoutMs: 10000, sloMs: 300, attempts: 1})
	w.engineFlags = []string{"-pause", chatPause.String(), "-unframed-every", fmt.Sprint(unframedEvery)}
	for i := range engineCount {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i), lmService, "1", ""); err != nil {
			return err
		}
	}
	return w.startRouters(routers)
}

// sendChats sends streams over chatSpread to the routers in turn; wait returns the answers once all have ended.
func sendChats(w *world) (wait func() []answer) {
	answers := make([]answer, chatStreams)
	var all sync.WaitGroup
	for i := range chatStreams {
		all.Go(func() {
			time.Sleep(time.Duration(i) * chatSpread / chatStreams)
			answers[i] = w.send(w.routers[i%len(w.routers)], request{id: fmt.Sprintf("r-%d", i), path: chatPath, deadline: chatDeadline, body: "chat",
				prompt: fmt.Sprintf("300,%d", chatEvents), parts: fmt.Sprintf("aa01:100,bb%02x:80,cc%04x:120", i%20, i)})
		})
	}
	return func() []answer {
		all.Wait()
		return answers
	}
}

// incomplete returns the streams that came to their end, for their callers, before their last event.
func incomplete(answers []answer) (broken []string) {
	for _, a := range answers {
		if a.status == 200 && a.whole && len(a.events) < chatEvents {
			broken = append(broken, fmt.Sprintf("the stream %s ended as complete after %d of %d events", a.id, len(a.events), chatEvents))
		}
	}
	return broken
}

// playLeave: an engine is taken away with notice, while it answers.
func playLeave(w *world) ([]string, error) {
	if err := prepareChats(w, 2); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.beatAll(stop)
	wait := sendChats(w)
	time.Sleep(chatSpread)
	if trouble() {
		leaver := w.running()[0]
		w.mu.Lock()
		leaver.state = "draining"
		w.mu.Unlock()
		w.beat(leaver)
		w.note("the store has taken %s as draining", leaver.id)
		_ = leaver.cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(spotNotice)
		w.note("%s is gone", leaver.id)
		_ = leaver.cmd.Process.Kill()
		w.store.Drop("servers", leaver.id)
	}
	return w.checkChats(wait())
}

// checkChats checks the answers of a play of which nearly all streams must have been served.
func (w *world) checkChats(answers []answer) ([]string, error) {
	served := 0
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
	}
	w.note("%d of %d streams were answered", served, len(answers))
	if served < chatStreams/2 {
		return nil, fmt.Errorf("only %d of %d streams were answered", served, len(answers))
	}
	return incomplete(answers), nil
}

const (
	// freezeTime is how long a router stands still; crashAfter and backAfter are when crashCount engines crash
	// meanwhile and when they are back.
	crashCount = 2
	freezeTime = 4 * time.Second
	crashAfter = 300 * time.Millisecond
	backAfter  = 2 * time.Second
)

// playStall: a router stands still while engines crash and come back.
func playStall(w *world) ([]string, error) {
	if err := prepareChats(w, 2); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.beatAll(stop)
	wait := sendChats(w)
	time.Sleep(chatSpread)
	if trouble() {
		frozen, crashing := w.routers[0], w.running()[:crashCount]
		w.signal(frozen, syscall.SIGSTOP)
		thaw := time.AfterFunc(freezeTime, func() { w.signal(frozen, syscall.SIGCONT) })
		defer thaw.Stop()
		time.Sleep(crashAfter)
		for _, e := range crashing {
			w.note("%s crashes", e.id)
			_ = e.cmd.Process.Kill()
			expire := time.AfterFunc(entryExpires, func() { w.store.Drop("servers", e.id) })
			defer expire.Stop()
		}
		time.Sleep(backAfter)
		for _, e := range crashing {
			if _, err := w.startEngine(e.id+"-again", lmService, "1", e.addr); err != nil {
				return nil, err
			}
		}
	}
	return w.checkChats(wait())
}
