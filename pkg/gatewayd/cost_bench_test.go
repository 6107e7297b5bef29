package gatewayd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/platform"
)

// Sizes of the fleet around the measured router: a large one.
const (
	benchEngines       = 64
	benchRouters       = 86
	benchOrganisations = 24
	benchSlots         = 16
)

// A router refuses or serves requests, each on a connection of its own or on kept ones. What
// counts is cpu-ns/op, the processor time of the router's process, and user-ns/op, its part
// outside the kernel: callers and engines live in another one. sleeps/op are its voluntary waits, each of them a wake-up.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name string
		full bool
		mode string
		idle int
		mem  int
	}{
		{"refused/new", true, modeNew, 0, 0},
		{"refused/kept", true, modeKept, 0, 0},
		{"refused/crowded", true, modeNew, benchIdleConns, 0},
		{"refused/cramped", true, modeNew, benchIdleConns, benchMemoryMiB},
		{"served/new", false, modeNew, 0, 0},
		{"served/kept", false, modeKept, 0, 0},
	} {
		b.Run(c.name, func(b *testing.B) {
			generator := startLoadGenerator(b)
			p := benchRouter(b, generator.engine, c.full, c.mem)
			generator.send(b, p.endpoints[0].listener.Addr().String(), modeIdle, c.idle)
			generator.send(b, p.endpoints[0].listener.Addr().String(), c.mode, benchWarmUp)
			b.ReportAllocs()
			b.ResetTimer()
			before := usage()
			generator.send(b, p.endpoints[0].listener.Addr().String(), c.mode, b.N)
			used := usage()
			b.ReportMetric(float64(used.cpu-before.cpu)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(used.user-before.user)/float64(b.N), "user-ns/op")
			b.ReportMetric(float64(used.sleeps-before.sleeps)/float64(b.N), "sleeps/op")
		})
	}
}

// benchIdleConns is the number of connections that stay open beside those of requests in a crowd,
// as a small router of the first deployments was seen to hold.
const benchIdleConns = 5000

// benchMemoryMiB is the memory of a host, in MiB, that such a crowd fills: the collector runs
// most of the time.
const benchMemoryMiB = 140

// benchWarmUp is the number of requests before those that count.
const benchWarmUp = 200

type resourceUsage struct {
	// cpu is all processor time, user that outside the kernel.
	cpu    time.Duration
	user   time.Duration
	sleeps int64
}

func usage() resourceUsage {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return resourceUsage{user: time.Duration(u.Utime.Nano()), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), sleeps: u.Nvcsw}
}

// benchRouter serves on loopback like one of many routers before engines that all have the
// address engine. The organisation that asks is far over its share; when full, so are the
// engines' queues.
func benchRouter(b *testing.B, engine string, full bool, memory int) *Process {
	limit := debug.SetMemoryLimit(-1)
	b.Cleanup(func() { debug.SetMemoryLimit(limit) })
	out := telemetry.NewAsyncWriter(io.Discard)
	logger, err := telemetry.NewLog(out, "info", "json")
	require.NoError(b, err)
	life, end := context.WithCancel(context.Background())
	b.Cleanup(end)
	go out.Run(life)
	s := DefaultSettings()
	s.Limits.MemoryMiB = memory
	s.Router = RouterSettings{Name: "router-1", Zone: "zone-a"}
	s.Listen.Callers, s.Listen.Peers = "127.0.0.1:0", "127.0.0.1:0"
	p, err := NewProcess(s, Deployment{Dialect: platform.Dialect{}, Faces: Faces{
		Readiness: func(func() bool) http.Handler { return http.NotFoundHandler() },
		Entries:   func(func(string) []string, func() float64) http.Handler { return http.NotFoundHandler() },
	}}, logger.WithField("router", s.Router.Name))
	require.NoError(b, err)
	for i := range benchRouters {
		p.fleet.AddMembers([]fleet.Member{{Name: fmt.Sprint("router-", i), Peers: fmt.Sprintf("10.0.%d.1:7400", i)}})
	}
	p.catalog.Adopt(benchConfig(), "bench")
	p.catalog.Replace(benchInstances(engine), 1, time.Now(), "bench")
	loads, uses := benchLoads(full)
	p.local.SetOthers(fleet.Totals{Loads: loads, Uses: uses})
	go p.serve(p.endpoints[0])
	b.Cleanup(func() { p.endpoints[0].server.Close() })
	return p
}

func benchConfig() *routing.Config {
	cfg := &routing.Config{Version: 1, Limits: routing.Limits{TokensPerSecond: 1e5},
		Services: []routing.Service{{Name: "model", Engine: &routing.Engine{Slots: benchSlots, KVCapacity: 1 << 40, EventTokens: 8}}}}
	for i := range 8 {
		cfg.Routes = append(cfg.Routes, routing.Route{Name: fmt.Sprint("route-", i), Host: "service.example", Prefix: fmt.Sprintf("/route-%d/", i),
			Kind: routing.Stream, Timeout: 10 * time.Second, Objective: 800 * time.Millisecond, MaxAttempts: 2, SharesPrompts: true, Resumable: true,
			Targets: []routing.Target{{Service: "model", Weight: 1}}})
	}
	for i := range benchOrganisations {
		cfg.Organisations = append(cfg.Organisations, routing.Organisation{Name: fmt.Sprint("org-", i), Keys: []string{fmt.Sprint("key-", i)}})
	}
	return cfg
}

func benchInstances(addr string) []upstream.Instance {
	var list []upstream.Instance
	for i := range benchEngines {
		list = append(list, upstream.Instance{ID: upstream.ID(fmt.Sprintf("i-%08x", i)), Service: "model", Addr: addr,
			Zone: []string{"zone-a", "zone-b"}[i%2], Slots: benchSlots, State: upstream.Ready})
	}
	return list
}

func benchLoads(full bool) (map[fleet.LifeKey]fleet.InstanceLoad, map[string]fleet.Use) {
	loads := make(map[fleet.LifeKey]fleet.InstanceLoad)
	uses := make(map[string]fleet.Use)
	if full {
		for i := range benchEngines {
			id := fmt.Sprintf("i-%08x", i)
			loads[fleet.LifeKey{Instance: id}] = fleet.InstanceLoad{Instance: id, Running: benchSlots + i%3, PrefillTokens: 20_000, KVTokens: 50_000}
		}
	}
	for i := range benchOrganisations {
		org := fmt.Sprint("org-", i)
		uses[org] = fleet.Use{Organisation: org, Asked: float64(3000 + 100*i), Got: float64(3000 + 100*i)}
	}
	if full {
		uses["org-0"] = fleet.Use{Organisation: "org-0", Asked: 9e5, Got: 6e4}
	}
	return loads, uses
}

// loadGenerator is the process with the callers and the engine.
type loadGenerator struct {
	in     io.Writer
	out    *bufio.Reader
	engine string
}

func startLoadGenerator(b *testing.B) *loadGenerator {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), loadGeneratorVariable+"=1", "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(b, err)
	out, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() { in.Close(); _ = cmd.Wait() }) // ends with its input
	c := &loadGenerator{in: in, out: bufio.NewReader(out)}
	c.engine = c.line(b)
	return c
}

func (c *loadGenerator) line(b *testing.B) string {
	text, err := c.out.ReadString('\n')
	require.NoError(b, err)
	return strings.TrimSpace(text)
}

// send has n requests made, and waits for their ends.
func (c *loadGenerator) send(b *testing.B, addr, mode string, n int) {
	_, err := fmt.Fprintln(c.in, addr, mode, n)
	require.NoError(b, err)
	require.Equal(b, strconv.Itoa(n), c.line(b), "requests that got an answer")
}
