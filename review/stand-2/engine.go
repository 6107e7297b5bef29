package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// work describes how engines serve a request.
type work struct {
	// before is the time until the first event, gap that between two events, events their number.
	before, gap time.Duration
	events      int
	// software is the version of the engines' software; empty for usualSoftware.
	software string
	// unframed answers have neither a length nor chunks and end with their connection.
	unframed bool
	// crashPart is the ID of a part of prompts; the engine crashes as it begins to write an answer on it.
	crashPart string
	// arrived is called with the parts of each request that reaches an engine; nil for nothing.
	arrived func(prefix string)
	// ran is called with the ID of each request that an engine begins to work on; nil for nothing.
	ran func(id string)
	// spoiled returns the share of answers in whose place bareAnswer is sent; nil for none.
	spoiled func() float64
	// idle is how long connections may be idle; 0 for usualIdle.
	idle time.Duration
	// failed returns the share of requests that run and are answered with status 503, without Not-Run; nil for none.
	failed func() float64
	// plain requests are answered with a text.
	plain bool
}

const (
	usualIdle     = 5 * time.Second
	usualSoftware = "v1"
)

func (w work) idleTime() time.Duration { return cmp.Or(w.idle, usualIdle) }

// engine is a stand-in of one engine from its start to its end.
type engine struct {
	d       *deployment
	id      string
	service string
	slots   int
	work    work
	born    int64
	server  *http.Server
	addr    string
	ended   chan struct{}
	once    sync.Once

	mu      sync.Mutex
	running int
	seq     int
	leaving bool
	// beat makes the engine write its entry at once.
	beat chan struct{}
}

// startEngine starts an engine that is listed and writes its entry again with each heartbeat. crashed is called once
// it has crashed; nil for nothing.
func (d *deployment) startEngine(id, service string, slots int, w work, crashed func()) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{d: d, id: id, service: service, slots: slots, work: w, born: time.Now().UnixMilli(), addr: l.Addr().String(), ended: make(chan struct{}), beat: make(chan struct{}, 1)}
	e.server = &http.Server{Handler: e, IdleTimeout: w.idleTime()}
	d.engines.Go(func() { _ = e.server.Serve(l) }) // ends when the server is closed
	d.engines.Go(func() { e.register(d.running, crashed) })
	return e, nil
}

// register writes the engine's entry until it ends. The entry of one that crashed lapses.
func (e *engine) register(ctx context.Context, crashed func()) {
	defer e.server.Close()
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		e.mu.Lock()
		e.seq++
		state := "ready"
		if e.leaving {
			state = "draining"
		}
		row := map[string]any{"Service": e.service, "Addr": e.addr, "Zone": zone, "Version": cmp.Or(e.work.software, usualSoftware), "Slots": e.slots, "State": state, "WarmupLeftMs": 0, "Seq": e.seq, "born": e.born}
		e.mu.Unlock()
		e.d.store.Put("servers", e.id, row)
		select {
		case <-ctx.Done():
			return
		case <-e.ended:
			if crashed != nil {
				crashed()
			}
			if e.isLeaving() || pause(ctx, entryLifetime) {
				e.d.store.Drop("servers", e.id)
			}
			return
		case <-e.beat:
		case <-tick.C:
		}
	}
}

// leave makes the engine report that it leaves. It serves on for a time, and its entry is then removed.
func (e *engine) leave(serves time.Duration) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.beat <- struct{}{}
	time.AfterFunc(serves, func() {
		e.once.Do(func() { close(e.ended) })
		_ = e.server.Close() // what still runs is broken off
	})
}

// crash ends the engine's process: its connections are closed, and it accepts no more.
func (e *engine) crash(cause string) {
	e.once.Do(func() {
		e.d.linef("engine %s crashes: %s", e.id, cause)
		close(e.ended)
		_ = e.server.Close() // closes all connections that it knows
	})
}

// ServeHTTP serves one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	if id != "" {
		h.Set("Request-Id", id)
	}
	h["Date"] = nil
	switch {
	case r.Header.Get("Expect-Instance") != e.id:
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"Stage":"colocated","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Seq":0,"Queued":0,"Running":%d,"KvUsed":0,"KvTotal":467808,"Handles":0,"born":%d}`, e.load(), e.born)
		return
	case !e.enter():
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.exit()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if e.work.arrived != nil {
		e.work.arrived(r.Header.Get("Prefix-Hash"))
	}
	h.Set("Server-Stamp", stamp(id))
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(e.work.idleTime().Seconds())))
	if !pause(r.Context(), e.work.before) {
		return
	}
	e.d.linef("engine %s runs %s", e.id, id)
	if e.work.ran != nil {
		e.work.ran(id)
	}
	if e.work.crashPart != "" && hasPart(r.Header.Get("Prefix-Hash"), e.work.crashPart) {
		e.crash("request " + id)
		panic(http.ErrAbortHandler)
	}
	if e.work.spoiled != nil && rand.Float64() < e.work.spoiled() {
		e.spoil(w, id)
		return
	}
	if e.work.plain {
		e.servePlain(w, id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if e.work.unframed {
		e.serveUnframed(w, r)
		return
	}
	e.stream(r.Context(), w, after(r), http.NewResponseController(w).Flush)
}

// spoil sends bytes that belong to no request in place of an answer.
func (e *engine) spoil(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	e.d.spoiled.Add(1)
	e.d.linef("engine %s sends wrong bytes in place of the answer to %s", e.id, id)
	_, _ = io.WriteString(conn, bareAnswer) // the caller may have left
}

// servePlain answers a request that has run.
func (e *engine) servePlain(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "text/plain")
	if e.work.failed != nil && rand.Float64() < e.work.failed() {
		e.d.linef("engine %s has run %s and answers 503 without Not-Run", e.id, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, "posted, but the confirmation can't be written")
		return
	}
	fmt.Fprintln(w, "posted")
}

// serveUnframed writes an answer that ends with its connection.
func (e *engine) serveUnframed(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	h := w.Header()
	h.Set("Connection", "close")
	h.Del("Keep-Alive")
	head := new(strings.Builder)
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(head) // a Builder doesn't fail
	head.WriteString("\r\n")
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return
	}
	// A crash resets the connection: the caller must not take what it has for a whole answer.
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-e.ended:
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
			_ = conn.Close()
		case <-done:
		}
	}()
	e.stream(e.d.running, conn, after(r), func() error { return nil })
	_ = r.Body.Close() // it was read to its end
}

// after returns the event after which a stream goes on.
func after(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n
}

// stream writes the events after one.
func (e *engine) stream(ctx context.Context, w io.Writer, after int, flush func() error) {
	for i := after + 1; i <= e.work.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\nevent: %s\ndata: %s\n\n", i, cmp.Or(e.work.software, usualSoftware), e.id); err != nil {
			return
		}
		if flush() != nil || i < e.work.events && !pause(ctx, e.work.gap) {
			return
		}
	}
}

func (e *engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// enter takes a slot; false when all are in use.
func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots {
		return false
	}
	e.running++
	return true
}

func (e *engine) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func stamp(id string) string { return "stamp-" + id }

// hasPart reports whether a prompt has a part.
func hasPart(prefix, part string) bool {
	for entry := range strings.SplitSeq(prefix, ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// eventNumber returns the number in the line of an event's ID; 0 for another line.
func eventNumber(line string) int {
	text, ok := strings.CutPrefix(line, "id: ")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return n
}
