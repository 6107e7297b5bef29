package gatewayd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/modelnet"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// linkSpeed is that of the links of the model's hosts, in bytes a second.
const linkSpeed = 1.25e6

// linkRouter is a router of the model: what it knows, and its exchange with the others.
type linkRouter struct {
	host    *modelnet.Host
	catalog *catalog.Catalog
	telling *telling
	fleet   *fleet.Fleet
	duty    *fleet.Exchanger
	face    *http.Server
}

// linkWorld is a fleet whose hosts have slow links. Its last router is the weakest.
type linkWorld struct {
	network *modelnet.Network
	routers []*linkRouter
	duties  sync.WaitGroup
	end     context.CancelFunc
	rng     *rand.Rand
	config  *routing.Config
	list    []upstream.Instance
	rev     catalog.Revision
	dropped upstream.ID
}

func newLinkWorld(n int) *linkWorld {
	ctx, end := context.WithCancel(context.Background())
	w := &linkWorld{network: modelnet.New(), end: end, rng: rand.New(rand.NewPCG(1, 2)), config: &routing.Config{}}
	for i := range 25 {
		w.list = append(w.list, upstream.Instance{ID: upstream.ID(fmt.Sprintf("i-%010x", w.rng.Int64N(1<<40))), Service: "llm", Addr: fmt.Sprintf("10.4.64.%d:8260", i), Zone: "hall-a", State: upstream.Ready, Slots: 24})
	}
	var members []fleet.Member
	for i := range n {
		members = append(members, fleet.Member{Name: fmt.Sprintf("router-%02d", i), Peers: fmt.Sprintf("10.0.0.%d:7000", 100-i), Started: 1, Power: 1 / float64(1+i), Zone: "hall-a"})
	}
	for _, m := range members {
		r := w.router(m)
		r.fleet.AddMembers(members)
		w.routers = append(w.routers, r)
	}
	w.config.Organisations = []routing.Organisation{{Name: "org", Keys: []string{w.word(20)}}}
	for _, r := range w.routers {
		w.run(ctx, r)
	}
	return w
}

func (w *linkWorld) router(m fleet.Member) *linkRouter {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	r := &linkRouter{host: modelnet.NewHost(linkSpeed), catalog: catalog.New(quiet)}
	r.telling = &telling{catalog: r.catalog, ledger: placement.NewLoadTracker(), holdings: placement.NewKVIndex(), shares: placement.NewShares(), inflows: placement.NewInflows(),
		paces: pace.NewEstimator(), suspects: quarantine.New(quarantine.Config{CrashLimit: 3, Duration: time.Minute}), ready: func() bool { return true }, pressed: func() bool { return false },
		log: quiet, behind: make(chan newer, 1)}
	r.fleet = fleet.New(m, r.telling, quiet)
	r.fleet.SetSecret([]byte("secret"))
	r.duty = fleet.NewExchanger(r.fleet)
	r.duty.DialWith(w.network.Dial(r.host))
	r.face = &http.Server{Handler: r.fleet.Handler()}
	return r
}

func (w *linkWorld) run(ctx context.Context, r *linkRouter) {
	l := w.network.Listen(r.host, r.fleet.Self().Peers)
	w.duties.Go(func() { _ = r.face.Serve(l) })
	w.duties.Go(func() { r.duty.Run(ctx) })
	w.duties.Go(func() { r.telling.catchUp(ctx, r.duty) })
}

// close ends the fleet.
func (w *linkWorld) close() {
	w.end()
	for _, r := range w.routers {
		_ = r.face.Close()
	}
	w.duties.Wait()
	w.network.Close()
	time.Sleep(time.Minute) // what is under way arrives
}

// weakest is the router that the store tells nothing and whose link others fill.
func (w *linkWorld) weakest() *linkRouter { return w.routers[len(w.routers)-1] }

// word is a name that nobody can guess.
func (w *linkWorld) word(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[w.rng.IntN(36)]
	}
	return string(b)
}

// routes gives n new routes.
func (w *linkWorld) routes(n int) []routing.Route {
	var list []routing.Route
	for range n {
		list = append(list, routing.Route{Name: "r-" + w.word(7), Host: "ficu95.example", Prefix: "/" + w.word(7) + "/", Kind: routing.Stream, Timeout: 10 * time.Second,
			Objective: 300 * time.Millisecond, MaxPause: 400 * time.Millisecond, MaxAttempts: 1, SharesPrompts: true, Targets: []routing.Target{{Service: "llm", Weight: 1}}})
	}
	return list
}

// declare has the store tell the strongest routers of a configuration with n more routes.
func (w *linkWorld) declare(n int) {
	next := *w.config
	next.Version += 3
	next.Routes = append(append([]routing.Route(nil), next.Routes...), w.routes(n)...)
	w.config = &next
	for _, r := range w.routers[:readers] {
		r.catalog.Adopt(w.config, "store")
	}
}

// tellList has the store tell the strongest routers of the list of upstreams.
func (w *linkWorld) tellList() {
	w.rev++
	for _, r := range w.routers[:readers] {
		if r.catalog.InstancesRevision() == 0 {
			r.catalog.Replace(append([]upstream.Instance(nil), w.list...), w.rev, time.Now(), "store")
			continue
		}
		r.catalog.Apply(nil, r.catalog.InstancesRevision(), w.rev, time.Now(), "store")
	}
}

// drop has the store tell the strongest routers that an upstream has left.
func (w *linkWorld) drop(i int) {
	w.rev++
	for _, r := range w.routers[:readers] {
		r.catalog.Apply([]upstream.Change{{Instance: upstream.Instance{ID: w.list[i].ID}, Gone: true}}, r.catalog.InstancesRevision(), w.rev, time.Now(), "store")
	}
	w.dropped = w.list[i].ID
}

// requireDropped fails when the weakest router still lists the upstream that has left after a time.
func (w *linkWorld) requireDropped(t *testing.T, within time.Duration) {
	t.Helper()
	began := time.Now()
	for w.weakest().catalog.Instances().Get(w.dropped) != nil {
		w.play(50 * time.Millisecond)
		require.Less(t, time.Since(began), within, "the upstream is still listed")
	}
	t.Logf("departure: %v", time.Since(began))
}

// play lets time pass, with news of the list each second as in a fleet at rest.
func (w *linkWorld) play(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.tellList()
		time.Sleep(min(time.Second, time.Until(end)))
	}
}

// requireAdopted fails when the weakest router hasn't the newest configuration within a time.
func (w *linkWorld) requireAdopted(t *testing.T, within time.Duration, what string) {
	t.Helper()
	began := time.Now()
	for w.weakest().catalog.Version() < w.config.Version {
		w.play(50 * time.Millisecond)
		require.Less(t, time.Since(began), within, "%s: version %d of %d", what, w.weakest().catalog.Version(), w.config.Version)
	}
	t.Logf("%s: %v", what, time.Since(began))
}
