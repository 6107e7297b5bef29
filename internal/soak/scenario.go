package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/status"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// judged is how long a router is watched once it knows a newer list, by directCallers.
	judged        = 1500 * time.Millisecond
	directCallers = 8
)

// Departure cuts one router off from the store and its peers while an upstream leaves without a
// word and serves on. It gives how many requests there were at the router once that had read a
// newer list, and how many of them the upstream ran.
func Departure(ctx context.Context, o Options) (sent, late int, err error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return 0, 0, errors.Trace(err)
	}
	w, err := newWorld(o)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return 0, 0, errors.Trace(err)
	}
	left := w.upstream(0)
	if err := w.departBehindCut(ctx, left); err != nil {
		return 0, 0, errors.Trace(err)
	}
	list := w.callDirectly(ctx, w.routers[0])
	runs := w.runs()
	for _, a := range list {
		for _, run := range runs[a.ID] {
			if run.upstream == left {
				late++
			}
		}
	}
	return len(list), late, nil
}

// departBehindCut returns when the first router knows a list without the upstream.
func (w *world) departBehindCut(ctx context.Context, left *upstream) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	r, witness := w.routers[0], w.routers[1]
	r.store.Cut()
	w.cutPeers()
	waiting.For(ctx, cutFor)
	w.store.Unlist(left.engine)
	var without int64
	err := until(ctx, func() bool {
		s, err := witness.status()
		if err != nil || slices.ContainsFunc(s.Upstreams, func(u status.Upstream) bool { return u.ID == left.engine.ID }) {
			return false
		}
		without = s.ListRevision
		return true
	})
	if err != nil {
		return errors.Annotate(err, "a router in touch keeps the upstream")
	}
	r.store.Reset() // what waited in the relay is lost
	r.store.Heal()
	w.healPeers()
	err = until(ctx, func() bool {
		s, err := r.status()
		return err == nil && s.ListRevision >= without
	})
	return errors.Annotate(err, "the router reads no newer list")
}

// cutPeers cuts all routers off from each other. A router asks others over their links, so its own
// wouldn't do.
func (w *world) cutPeers() {
	for _, r := range w.routers {
		r.peers.Cut()
	}
}

// healPeers undoes that; what waited in the relays is lost.
func (w *world) healPeers() {
	for _, r := range w.routers {
		r.peers.Reset()
		r.peers.Heal()
	}
}

// until polls done until it holds or ctx ends.
func until(ctx context.Context, done func() bool) error {
	for pace := rate.NewLimiter(rate.Every(pollEvery), 1); !done(); {
		if err := pace.Wait(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// callDirectly keeps some callers busy at one router.
func (w *world) callDirectly(ctx context.Context, r *router) []*attempt {
	t := &traffic{world: w}
	ctx, cancel := context.WithTimeout(ctx, judged)
	defer cancel()
	var all sync.WaitGroup
	for i := range directCallers {
		all.Go(func() {
			c := platformtest.NewCaller()
			defer c.Close()
			random := rand.New(rand.NewPCG(w.options.Seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				t.send(c, newAttempt(r.callers.Addr(), fmt.Sprintf("direct-%d-%d", i, n), random))
			}
		})
	}
	all.Wait()
	return t.list
}

// status is what the router shows of itself.
func (r *router) status() (status.Status, error) {
	var s status.Status
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + status.PathJSON)
	if err != nil {
		return s, errors.Trace(err)
	}
	defer resp.Body.Close()
	return s, errors.Trace(json.NewDecoder(resp.Body).Decode(&s))
}
