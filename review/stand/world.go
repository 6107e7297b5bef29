package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/gatewayd"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// Bounds and limits of a small deployment, see its sheet.
const (
	contact      = 3 * time.Second
	grace        = 8
	drainMs      = 2000
	passMs       = 120
	memoryMiB    = 284
	cores        = 0.4
	linkMbps     = 1000
	retryRatio   = 0.2
	retrySlack   = 52
	retryWindow  = 10
	engineSlots  = 64
	kvCapacity   = 467808
	tokensPerS   = 1_000_000
	eventTokens  = 7
	entryExpires = 3600 * time.Millisecond // three heartbeats
)

// world is everything that a case runs. The store and the callers are part of this process; routers and engines
// are processes of their own.
type world struct {
	dir, gateway string
	record       *os.File
	began        time.Time
	store        *platformtest.Store
	ports        devfleet.Ports
	routers      []*router
	engineFlags  []string

	mu      sync.Mutex
	engines []*engineProcess
	reports []report
	closing bool
	// crashed is called when an engine has ended by itself.
	crashed func(p *engineProcess)
}

type router struct {
	name     string
	settings gatewayd.Settings
	file     string
	cmd      *exec.Cmd
	// peers is the link on which other routers reach this one.
	peers *devfleet.TCPRelay
}

type engineProcess struct {
	id, service, addr, zone, software string
	state                             string
	cmd                               *exec.Cmd
	born                              int64
	seq                               int
	// ended says that the process runs no more.
	ended bool
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(os.Getenv("RECORD_DIR"), "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, gateway: os.Getenv("GATEWAY"), record: record, began: time.Now(), store: platformtest.NewStore()}
	w.crashed = func(*engineProcess) {}
	w.note("trouble: %v", trouble())
	return w, nil
}

// trouble reports whether the disruption is to be made.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	engines := w.engines
	w.mu.Unlock()
	for _, e := range engines {
		_ = e.cmd.Process.Kill() // it may have ended
	}
	for _, r := range w.routers {
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
		r.peers.Close()
	}
	w.store.CloseClientConnections()
	w.store.Close()
	w.ports.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// route is a route of the configuration.
type route struct {
	path, kind, service string
	// also are further services that share the route's requests.
	also             []string
	timeoutMs, sloMs int
	attempts         int
	resumable        bool
}

// declare writes the configuration.
func (w *world) declare(routes ...route) {
	list := make([]any, 0, len(routes))
	for _, r := range routes {
		backends := []any{map[string]any{"Service": r.service, "Weight": 1}}
		for _, service := range r.also {
			backends = append(backends, map[string]any{"Service": service, "Weight": 1})
		}
		list = append(list, map[string]any{"Name": r.path, "Host": host, "Prefix": r.path, "Kind": r.kind, "TimeoutMs": r.timeoutMs, "SloMs": r.sloMs,
			"Priority": 1, "Backends": backends, "MaxAttempts": r.attempts,
			"Sticky": r.kind == "streaming", "Resumable": r.resumable, "GapAimMs": 300 * boolInt(r.kind == "streaming")})
	}
	engine := map[string]any{"Slots": engineSlots, "KvCapacity": kvCapacity, "Stride": eventTokens}
	w.store.Put("op", "config", map[string]any{"Version": 7, "Routes": list,
		"Services": []any{map[string]any{"Name": lmService, "HealthPath": "/health", "MaxConns": 360, "Engine": engine},
			map[string]any{"Name": secondService, "HealthPath": "/health", "MaxConns": 360, "Engine": engine},
			map[string]any{"Name": appService, "HealthPath": "/health", "MaxConns": 96}},
		"Limits": map[string]any{"MaxHeaderBytes": 65536, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 30000, "TokensPerS": tokensPerS},
		"Tenants": []any{
			map[string]any{"Name": "tenant-1", "ApiKeys": []string{key}},
			map[string]any{"Name": "tenant-2", "ApiKeys": []string{"another-key"}},
		}})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Names in the configuration.
const (
	host       = "desk.example"
	key        = "a-key"
	lmService  = "lm-pool"
	appService = "quota-app"
	// secondService is a second pool of model engines.
	secondService = "lm-pool-2"
)

// startEngine starts an engine and lists it as ready. An empty addr takes a new one.
func (w *world) startEngine(id, service, software, addr string) (*engineProcess, error) {
	if addr == "" {
		var err error
		if addr, err = w.ports.Take(); err != nil {
			return nil, err
		}
	}
	p := &engineProcess{id: id, service: service, addr: addr, zone: "hall-a", software: software, state: "ready", born: time.Now().UnixMilli()}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := append([]string{"engine", "-addr", addr, "-id", id, "-software", software}, w.engineFlags...)
	p.cmd = exec.Command(self, args...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	started := make(chan struct{})
	go w.follow(p, out, started)
	select {
	case <-started:
	case <-time.After(startWait):
		return nil, fmt.Errorf("engine %s doesn't start", id)
	}
	w.mu.Lock()
	w.engines = append(w.engines, p)
	w.mu.Unlock()
	w.beat(p)
	w.note("engine %s (%s, software %s) runs at %s", id, service, software, addr)
	return p, nil
}

// follow keeps the reports of an engine until it has ended.
func (w *world) follow(p *engineProcess, out io.Reader, started chan<- struct{}) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var r report
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			continue
		}
		if r.What == "started" {
			close(started)
			continue
		}
		w.mu.Lock()
		w.reports = append(w.reports, r)
		w.mu.Unlock()
		w.note("%s %s %s: events %d of %d, after %d, unframed %v", r.Engine, r.What, r.Request, r.Events, r.Planned, r.After, r.Unframed)
	}
	_ = p.cmd.Wait() // how it ended makes no difference
	w.mu.Lock()
	p.ended = true
	closing, crashed := w.closing, w.crashed
	w.mu.Unlock()
	if !closing {
		w.note("engine %s has ended", p.id)
		crashed(p)
	}
}

// beat writes an engine's entry.
func (w *world) beat(p *engineProcess) {
	w.mu.Lock()
	p.seq++
	row := map[string]any{"Service": p.service, "Addr": p.addr, "Zone": p.zone, "Version": p.software, "Slots": engineSlots, "State": p.state,
		"WarmupLeftMs": 0, "Seq": p.seq, "born": p.born}
	w.mu.Unlock()
	w.store.Put("servers", p.id, row)
}

// list returns what the engines have reported so far.
func (w *world) list() []report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]report(nil), w.reports...)
}

const startWait = 20 * time.Second

// startRouters starts routers as the deploy file says and waits until they are ready and know each other.
func (w *world) startRouters(n int) error {
	for i := range n {
		r := &router{name: fmt.Sprintf("front-hall-%c-1", 'a'+i)}
		if err := w.configure(r); err != nil {
			return err
		}
		w.routers = append(w.routers, r)
	}
	var seeds []string
	for _, r := range w.routers {
		seeds = append(seeds, r.peers.Addr())
	}
	for _, r := range w.routers {
		r.settings.Entries.Known = seeds
		r.settings.Router.FirstStart = true
		if err := w.startRouter(r); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startWait)
	for _, r := range w.routers {
		if err := w.waitReady(r, n, deadline); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) configure(r *router) error {
	s := gatewayd.DefaultSettings()
	s.Router = gatewayd.RouterSettings{Name: r.name, Zone: "hall-a"}
	s.Leaving.GraceSeconds = grace
	s.Streams = gatewayd.StreamSettings{EventDelayMs: passMs, LeavingUpstreamMs: drainMs}
	s.Limits.MemoryMiB, s.Limits.Cores, s.Limits.LinkMbps = memoryMiB, cores, linkMbps
	s.Repeats = gatewayd.RepeatSettings{Ratio: retryRatio, Slack: retrySlack, WindowSeconds: retryWindow}
	s.Store.Addr = w.store.Addr()
	for _, addr := range []*string{&s.Listen.Callers, &s.Listen.Readiness, &s.Listen.Peers, &s.Listen.Entries, &s.Listen.Metrics, &s.Listen.Handover} {
		var err error
		if *addr, err = w.ports.Take(); err != nil {
			return err
		}
	}
	link, err := w.ports.Take()
	if err != nil {
		return err
	}
	if r.peers, err = devfleet.NewTCPRelay(link, s.Listen.Peers); err != nil {
		return err
	}
	s.Advertise.Peers = link
	r.settings = s
	return nil
}

// restartRouter starts a router that has ended.
func (w *world) restartRouter(r *router) error {
	r.settings.Router.FirstStart = false
	return w.startRouter(r)
}

// startRouter writes a router's settings and starts it with the command of the deploy file.
func (w *world) startRouter(r *router) error {
	data, err := yaml.Marshal(r.settings)
	if err != nil {
		return err
	}
	r.file = filepath.Join(w.dir, r.name+".yaml")
	if err := os.WriteFile(r.file, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, r.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command(w.gateway, "run")
	r.cmd.Env = append(os.Environ(), "FLAMINGOWIND_CONFIG="+r.file)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return r.cmd.Start()
}

// waitReady waits until a router is ready and names n routers to callers.
func (w *world) waitReady(r *router, n int, deadline time.Time) error {
	for ; time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, _ := get("http://" + r.settings.Listen.Readiness + "/ready"); status != http.StatusOK {
			continue
		}
		var answer struct{ Addrs []string }
		_, body := get("http://" + r.settings.Listen.Entries + "/resolve?Name=" + host + "&Zone=hall-a&Region=gt-central")
		if json.Unmarshal(body, &answer) == nil && len(answer.Addrs) == n {
			w.note("%s is ready at %s", r.name, r.settings.Listen.Callers)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", r.name)
}

func get(url string) (int, []byte) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// signal sends a signal to a router.
func (w *world) signal(r *router, s syscall.Signal) {
	w.note("%s gets %v", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

// beatAll writes the entries of all engines that run, about each heartbeat, until stop is closed.
func (w *world) beatAll(stop <-chan struct{}) {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		for _, e := range w.running() {
			w.beat(e)
		}
	}
}

// running returns the engines that run.
func (w *world) running() []*engineProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*engineProcess
	for _, e := range w.engines {
		if !e.ended {
			list = append(list, e)
		}
	}
	return list
}
