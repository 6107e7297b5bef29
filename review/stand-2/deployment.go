package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// Bounds of the deployment, as the example of settings on the users' pages has them.
const (
	contactTime   = 3 * time.Second
	graceTime     = 8 * time.Second
	heartbeat     = 1200 * time.Millisecond
	entryLifetime = 3 * heartbeat
	host          = "ficu95.example"
	zone          = "hall-a"
	apiKey        = "k7b2ex5wa5xwyhks8nbk"
	tenant        = "hule930"
)

// deployment is a store, engines and gateways on loopback addresses.
type deployment struct {
	*record
	// trouble is whether the case's disruption is played.
	trouble bool

	dir      string
	ports    ports
	store    *platformtest.Store
	gateways []*gateway
	engines  sync.WaitGroup
	stop     context.CancelFunc
	running  context.Context
	// spoiled counts the answers in whose place engines sent wrong bytes.
	spoiled atomic.Int64
}

func newDeployment(rec *record, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, trouble: trouble, dir: dir, store: platformtest.NewStore()}
	d.running, d.stop = context.WithCancel(context.Background())
	return d, nil
}

// close ends all processes that were started, and all stand-ins.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	d.stop()
	d.engines.Wait()
	d.store.CloseClientConnections()
	d.store.Close()
	d.ports.close()
	_ = os.RemoveAll(d.dir) // a directory for temporary files
}

// declare writes the configuration.
func (d *deployment) declare(routes, services []any) {
	d.store.Put("op", "config", map[string]any{"Version": 7, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 400000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}}})
}

// gateway is a router process with its settings.
type gateway struct {
	d      *deployment
	name   string
	fields map[string]any
	file   string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// startGateways starts n routers and waits until all of them are ready.
func (d *deployment) startGateways(ctx context.Context, n int) error {
	var seeds []string
	for i := range n {
		g, err := d.newGateway(i)
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
		seeds = append(seeds, g.addr("Control"))
	}
	for _, g := range d.gateways {
		g.fields["Seeds"] = seeds
		if err := g.start(true); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) newGateway(i int) (*gateway, error) {
	listen := make(map[string]any)
	var portRange []any
	for _, name := range []string{"Front", "Readiness", "Control", "Directory", "first", "last"} {
		addr, err := d.ports.take()
		if err != nil {
			return nil, err
		}
		listen[name] = addr
		if name == "first" || name == "last" {
			portRange = append(portRange, addr[len("127.0.0.1:"):])
		}
	}
	name := fmt.Sprintf("front-%s-%d", zone, i+1)
	return &gateway{d: d, name: name, file: filepath.Join(d.dir, name+".yaml"), fields: map[string]any{
		"NodeName": name, "Zone": zone, "Ip": "127.0.0.1", "Listen": listen, "PortRange": portRange,
		"Limits":   map[string]any{"CpuShare": 0.4, "MemoryMb": 134, "MaxFds": 4100, "LinkMbps": 1000.0},
		"Provider": map[string]any{"Addr": d.store.Addr()},
		"Bounds":   map[string]any{"RetryRatio": 0.2, "RetrySlack": 52, "RetryWindowS": 10, "PassMs": 120, "DrainMs": 2000, "GraceS": graceTime.Seconds()},
	}}, nil
}

func (g *gateway) addr(face string) string { return g.fields["Listen"].(map[string]any)[face].(string) }

// start starts the process with the command of the deploy file.
func (g *gateway) start(first bool) error {
	g.fields["Bootstrap"] = first
	if err := writeSettings("deploy/settings.yaml", g.file, g.fields); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(g.d.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command("target/flamingowind-gateway", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FLAMINGOWIND_CONFIG=" + g.file}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait() // the caller asks for the state
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd, g.ended = cmd, ended
	g.d.linef("%s starts", g.name)
	return nil
}

func (g *gateway) process() (*exec.Cmd, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd, g.ended
}

// kill ends the process.
func (g *gateway) kill() {
	cmd, ended := g.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-ended
}

// leave stops the process as the platform does: SIGTERM, and SIGKILL after the grace period. It returns
// when the process has ended.
func (g *gateway) leave() (at time.Time, err error) {
	cmd, ended := g.process()
	at = time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return at, err
	}
	g.d.linef("%s gets SIGTERM", g.name)
	select {
	case <-ended:
	case <-time.After(graceTime):
		g.kill()
	}
	g.d.linef("%s has ended", g.name)
	return at, nil
}

// awaitReady waits until the platform's check finds the router ready.
func (g *gateway) awaitReady(ctx context.Context) error {
	for {
		resp, err := http.Get("http://" + g.addr("Readiness") + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				g.d.linef("%s is ready", g.name)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s does not become ready", g.name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
