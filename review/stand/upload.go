package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	uploadPath = "/post/"
	// uploadBody is the size of a body, in bytes; the configuration allows 4,194,304.
	uploadBody     = 4_000_000
	uploadDeadline = 10 * time.Second
	// uploadEvery is the time between two requests to a router, uploadTime for how long they come.
	uploadEvery = 80 * time.Millisecond
	uploadTime  = 12 * time.Second
	// slowRate is how fast engines read that read slowly, in bytes a second.
	slowRate = 600_000
	// mostLost is the number of requests that may be lost on kept connections.
	mostLost = 3
)

// playUpload: engines read slowly what they are sent.
func playUpload(w *world) ([]string, error) {
	w.declare(route{path: uploadPath, kind: "unsafe", service: appService, timeoutMs: 10000, sloMs: 1000, attempts: 1})
	if trouble() {
		w.note("engines read %d bytes a second of a body", slowRate)
		w.engineFlags = []string{"-read-rate", strconv.Itoa(slowRate)}
	}
	for i := range engineCount {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i), appService, "1", ""); err != nil {
			return nil, err
		}
	}
	if err := w.startRouters(2); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.beatAll(stop)
	var killed atomic.Int32
	for _, r := range w.routers {
		go w.boundMemory(r, stop, &killed)
	}
	lost, sent := w.sendUploads()
	w.note("%d of %d requests were passed on from kept connections to sound engines and got no answer; %d routers were killed for their memory", lost, sent, killed.Load())
	if lost > mostLost {
		return []string{fmt.Sprintf("%d of %d requests were passed on and got no answer; routers over their memory: %d", lost, sent, killed.Load())}, nil
	}
	return nil, nil
}

// boundMemory kills a router that takes more memory than its settings say, as the platform does.
func (w *world) boundMemory(r *router, stop <-chan struct{}, killed *atomic.Int32) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	most := int64(0)
	for {
		select {
		case <-stop:
			w.note("%s took %d MiB at most", r.name, most>>20)
			return
		case <-tick.C:
		}
		used := residentMemory(r.cmd.Process.Pid)
		most = max(most, used)
		if used > memoryMiB<<20 {
			w.note("%s takes %d MiB and is allowed %d: the platform kills it", r.name, used>>20, memoryMiB)
			w.signal(r, syscall.SIGKILL)
			killed.Add(1)
			return
		}
	}
}

// residentMemory returns the memory that a process takes, in bytes.
func residentMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// sendUploads sends requests to each router and returns how many were lost, of how many.
func (w *world) sendUploads() (lost, sent int) {
	body := bytes.Repeat([]byte("x"), uploadBody)
	var all sync.WaitGroup
	var noAnswer sync.Map
	n := 0
	for began := time.Now(); time.Since(began) < uploadTime; time.Sleep(uploadEvery) {
		for _, r := range w.routers {
			id := fmt.Sprintf("post-%d", n)
			n++
			all.Go(func() {
				if w.upload(r, id, body) {
					noAnswer.Store(id, true)
				}
			})
		}
	}
	all.Wait()
	for _, run := range w.list() {
		if _, ok := noAnswer.Load(run.Request); ok && run.What == "began" {
			lost++
		}
	}
	return lost, n
}

// upload sends a small request and then a large one on the same connection. It reports whether the large one got no
// answer.
func (w *world) upload(r *router, id string, body []byte) (noAnswer bool) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	kept := &http.Client{Transport: transport, Timeout: uploadDeadline}
	if _, err := post(kept, r, id+"-first", []byte("small")); err != nil {
		return false // the router isn't there
	}
	status, err := post(kept, r, id, body)
	w.note("caller of %s got %d from %s, error %v", id, status, r.name, err)
	var late interface{ Timeout() bool }
	return err != nil && (!errors.As(err, &late) || !late.Timeout())
}

func post(c *http.Client, r *router, id string, body []byte) (int, error) {
	in, err := http.NewRequest(http.MethodPost, "http://"+r.settings.Listen.Callers+uploadPath+"x", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	in.Host = host
	in.Header.Set("Request-Id", id)
	in.Header.Set("Authorization", "Bearer "+key)
	in.Header.Set("Deadline-Ms", strconv.FormatInt(uploadDeadline.Milliseconds(), 10))
	resp, err := c.Do(in)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, err
	}
	return resp.StatusCode, nil
}
