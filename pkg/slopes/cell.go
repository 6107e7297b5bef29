package slopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Cells measures keepers without any connection: a grant cycle is one Done, one Next
// that grants, and one Claim in its place.
type Cells struct {
	Orgs    []int
	Waiting []int
	Kept    []int
	Cycles  int
}

// fixed values of the sizes that don't vary.
const (
	someOrgs      = 71
	someWaiting   = 1000
	cellUpstreams = 32
	cellSlots     = 8
	cellRouters   = 8
)

func (c Cells) run(ctx context.Context, r *Report) error {
	for _, n := range c.Orgs {
		k := newCell(n, someWaiting)
		r.add("keeper/cycle-by-organisations", "organisations backlogged", "us/grant", Point{float64(n), k.cycle(c.Cycles)})
	}
	for _, n := range c.Waiting {
		k := newCell(someOrgs, n)
		r.add("keeper/cycle-by-waiting", "claims waiting", "us/grant", Point{float64(n), k.cycle(c.Cycles)})
	}
	c.memory(r)
	return ctx.Err()
}

func (c Cells) memory(r *Report) {
	for _, n := range c.Orgs {
		r.add("keeper/memory-by-organisations", "organisations backlogged", "bytes", Point{float64(n), held(func() any { return newCell(n, someWaiting) })})
	}
	for _, n := range c.Waiting {
		r.add("keeper/memory-by-waiting", "claims waiting", "bytes", Point{float64(n), held(func() any { return newCell(someOrgs, n) })})
	}
	for _, n := range c.Kept {
		r.add("keeper/memory-by-cells", "cells kept, 71 claims in each", "bytes", Point{float64(n), held(func() any { return manyCells(n) })})
	}
}

func manyCells(n int) []*cell {
	cells := make([]*cell, n)
	for i := range cells {
		cells[i] = newCell(someOrgs, someOrgs)
	}
	return cells
}

// held gives the heap that what f makes takes up.
func held(f func() any) float64 {
	before := heap()
	v := f()
	after := heap()
	runtime.KeepAlive(v)
	return after - before
}

// cell is a full cell with claims waiting.
type cell struct {
	k       *keeper.Keeper
	orgs    int
	now     time.Time
	next    wire.ClaimID
	running []keeper.Message
}

func newCell(orgs, waiting int) *cell {
	c := &cell{orgs: orgs, now: time.Now()}
	c.k = keeper.New(keeper.Options{MaxWaiting: 1 << 20, MaxWaitingPerOrg: 1 << 20}, nil, c.now)
	weights := make(map[string]float64)
	for i := range max(orgs, fullOrgs) {
		weights[orgName(i)] = 1
	}
	var ups []resource.Upstream
	for i := range cellUpstreams {
		ups = append(ups, resource.Upstream{Meta: resource.Meta{Name: upstreamName(i)}, Slots: cellSlots})
	}
	c.k.Configure(ups, weights, c.now)
	for range waiting + cellUpstreams*cellSlots {
		c.claim()
	}
	c.running = c.k.Next(c.now)
	return c
}

func (c *cell) claim() {
	c.next++
	c.k.Claim(wire.RouterID(fmt.Sprint("router-", c.next%cellRouters)), 1, wire.Claim{
		ID: c.next, Org: orgName(int(c.next*7919) % c.orgs), Content: uint64(c.next), WaitMs: 3_600_000,
	}, c.now)
}

// cycle gives the microseconds of one grant cycle.
func (c *cell) cycle(n int) float64 {
	start := processorTime()
	for i := range n {
		c.now = c.now.Add(100 * time.Microsecond)
		g := c.running[i%len(c.running)]
		c.k.Done(g.To, 1, wire.Done{ID: g.Grant.ID, Upstream: g.Grant.Upstream, Cost: requestTokens}, c.now)
		if out := c.k.Next(c.now); len(out) > 0 {
			c.running[i%len(c.running)] = out[0]
		}
		c.claim()
	}
	return micros(processorTime()-start) / float64(n)
}
