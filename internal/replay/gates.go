package replay

import (
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// What cold engines bear, as a service declares it.
const (
	coldTime      = 3 * time.Second
	coldPerSecond = 10
	coldOver      = 1.5
	coldSlack     = 5
)

// gates tell which engines each router may send to. Engines that are evacuated at the same time are
// in one zone.
type gates struct {
	service     *routing.Service
	evacuations []Evacuation
	list        []*warmup.Gate
	restored    int
}

func newGates(s Service, declared *routing.Service) *gates {
	declared.Warmup, declared.ColdPerSecond = coldTime, coldPerSecond
	g := &gates{service: declared, evacuations: slices.Clone(s.Evacuations)}
	slices.SortFunc(g.evacuations, func(a, b Evacuation) int { return int(a.To - b.To) })
	var names []string
	for i := range max(1, s.Routers) {
		names = append(names, "r"+strconv.Itoa(i))
	}
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	since := epoch.Add(-time.Minute)
	for _, name := range names {
		roster := warmup.Roster{Self: name, Routers: names, Since: since, Joined: since, Known: len(names)}
		gate := warmup.NewGate(func(time.Time) warmup.Roster { return roster }, func(time.Time) bool { return true }, quiet)
		gate.SetLimit(coldOver, coldSlack)
		g.list = append(g.list, gate)
	}
	return g
}

// follow tells the gates of the engines; each is in the zone of its last evacuation.
func (g *gates) follow(engines []*engine) {
	var list []upstream.Instance
	for i, e := range engines {
		e.instance.WarmupTold = true
		for n, ev := range g.evacuations {
			if slices.Contains(ev.Engines, i) {
				e.instance.Zone = zone(n)
			}
		}
		list = append(list, *e.instance)
	}
	for _, gate := range g.list {
		gate.SetUpstreams(upstream.NewSet(list), epoch)
	}
}

func zone(evacuation int) string { return "z" + strconv.Itoa(evacuation) }

// restore tells the gates of the evacuations that have ended.
func (g *gates) restore(now time.Time) {
	for ; g.restored < len(g.evacuations) && !now.Before(epoch.Add(g.evacuations[g.restored].To)); g.restored++ {
		for _, gate := range g.list {
			gate.MarkRestored([]string{zone(g.restored)}, epoch.Add(g.evacuations[g.restored].To))
		}
	}
}

// open reports whether a router may send to engine i.
func (w *world) open(i int, at *router, now time.Time) bool {
	w.gates.restore(now)
	since := now.Sub(epoch)
	if !w.engines[i].serves(since) {
		return false
	}
	for _, ev := range w.gates.evacuations {
		if slices.Contains(ev.Engines, i) && since >= ev.From && since < ev.To {
			return false
		}
	}
	return !w.decisions.Warmup || w.gates.list[at.index].Allows(w.engines[i].instance, w.gates.service, now)
}

// sends counts a request that a router sends, and whether that is more than a cold engine bears.
func (w *world) sends(at *router, in *upstream.Instance, now time.Time) {
	if w.decisions.Warmup {
		w.gates.list[at.index].Acquire(in, w.gates.service, now)
	}
	e := w.engineOf(in)
	e.sent = append(e.sent, now)
	if !w.gates.list[at.index].IsCold(in, w.gates.service, now) {
		return
	}
	recent := 0
	for _, t := range e.sent {
		if now.Sub(t) < time.Second {
			recent++
		}
	}
	if recent > coldOver*coldPerSecond+coldSlack {
		w.overCold++
	}
}
