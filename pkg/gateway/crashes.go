package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// probeTimeout bounds the connection that tells whether an upstream has crashed. Within a region a host
// answers within some milliseconds.
const probeTimeout = 100 * time.Millisecond

// recordBrokenRun records that an upstream broke off while it ran r. That is a crash if the upstream accepts
// no new connections, or leaves the list without draining soon after. One that was leaving has ended as
// planned.
func (g *Gateway) recordBrokenRun(r *request, inst *upstream.Instance) {
	if !g.isReady(inst) {
		return
	}
	if g.refusesConnections(r.in.Context(), inst) {
		g.recordEnd(inst.Life())
		g.recordCrash(r.lostRun(), inst.Life())
		return
	}
	g.watchRun(r, inst)
}

// watchRun remembers a run that got no answer, until it's known whether its upstream has crashed.
func (g *Gateway) watchRun(r *request, inst *upstream.Instance) {
	g.lostRuns.Add(inst.Life(), r.lostRun())
}

// isReady reports whether the list has this life of the upstream as ready.
func (g *Gateway) isReady(inst *upstream.Instance) bool {
	current := g.catalog.Instances().Get(inst.ID)
	return current != nil && current.Life() == inst.Life() && current.State == upstream.Ready
}

// refusesConnections reports whether nothing listens at the upstream's address any more.
func (g *Gateway) refusesConnections(ctx context.Context, inst *upstream.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(g.pools.Probe(ctx, inst), syscall.ECONNREFUSED)
}

// recordEnd records the crashes under the runs that an upstream which has ended lost before.
func (g *Gateway) recordEnd(life upstream.Life) {
	for _, run := range g.lostRuns.Crashed(life, time.Now()) {
		g.recordCrash(run, life)
	}
}

// UpdateUpstreams takes over a new list of upstreams.
func (g *Gateway) UpdateUpstreams(set *upstream.Set, now time.Time) {
	for life, runs := range g.lostRuns.Update(set, now) {
		for _, run := range runs {
			g.recordCrash(run, life)
		}
	}
}

// lostRun describes a run of r that has just ended without a complete answer.
func (r *request) lostRun() quarantine.LostRun {
	return quarantine.LostRun{Content: r.contentHash, Parts: r.partHashes(), RequestID: r.meta.RequestID, At: time.Now()}
}

// recordCrash records that an upstream crashed during a run.
//
// Guard: a request, or a part of many prompts, may crash every upstream that starts it, and may come at
// any router. Unless the routers share what they know of it, one caller can take a whole service down.
func (g *Gateway) recordCrash(run quarantine.LostRun, life upstream.Life) {
	for _, news := range g.quarantine.RecordCrash(run, lifeNumber(life)) {
		g.logCrash(run, life, news)
	}
}

// logCrash logs a suspicion with several crashes. After a mass crash there are many with one.
func (g *Gateway) logCrash(run quarantine.LostRun, life upstream.Life, news wire.Suspicion) {
	g.metrics.suspicions.count(crashSeen, subjectOf(news))
	if len(news.Crashes) < 2 {
		return
	}
	g.log.WithFields(log.Fields{"event": "crash_suspected", "kind": subjectOf(news), "subject": FormatSubject(news.Content), "crashes": len(news.Crashes),
		"instance": life.ID, "request": run.RequestID, "limit": CrashLimitOf(news)}).Warn("upstreams crashed under the same request or part of prompts")
}

// lifeNumber returns the number that identifies an upstream's life in suspicions, the same on every router.
func lifeNumber(l upstream.Life) uint32 {
	return uint32(xxhash.Sum64String(string(l.ID))) ^ l.Start
}
