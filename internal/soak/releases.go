package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// ofReleases are releases of other software versions, whole and in part, and kills of many routers.
var ofReleases = map[string]action{"release": releaseAll, "release_half": releaseHalf, "herd_kill": herdKill}

const (
	// releasesEvery is the number of other faults for each of ofReleases.
	releasesEvery = 5
	// releaseGap is the pause between two upstreams of a release.
	releaseGap = 250 * time.Millisecond
	// versions is the number of software versions; the next one after the last is the first again, as
	// in a rollback.
	versions = 3
	// herdLasts is how long killed routers are down.
	herdLasts = time.Second
)

// planReleases gives those faults of a seed, beside plan.
func planReleases(o Options) []fault { return planApart(o, ofReleases, 5, releasesEvery) }

// planHerds kills routers at once again and again while versions are released and rolled back.
func planHerds(o Options) []fault {
	const every, releaseEvery = 3 * time.Second, 7 * time.Second
	random := rand.New(rand.NewPCG(o.Seed, 6))
	var list []fault
	for at := time.Second; at < o.Length; at += releaseEvery {
		list = append(list, fault{kind: "release_half", at: at, lasts: shortest})
	}
	for at := every; at < o.Length; at += every {
		list = append(list, fault{kind: "herd_kill", at: at + time.Duration(random.Int64N(int64(time.Second))), lasts: herdLasts})
	}
	return list
}

// releaseAll replaces all main upstreams one after the other by ones of the next version.
func releaseAll(ctx context.Context, w *world, f fault) { w.release(ctx, w.options.Upstreams, f.lasts) }

// releaseHalf stops halfway, so that two versions serve side by side.
func releaseHalf(ctx context.Context, w *world, f fault) {
	w.release(ctx, (w.options.Upstreams+1)/2, f.lasts)
}

// release replaces so many upstreams: first those of the version that the last release has left.
func (w *world) release(ctx context.Context, count int, lasts time.Duration) {
	version, order := w.nextRelease()
	var all sync.WaitGroup
	for _, index := range order[:min(count, len(order))] {
		all.Go(func() { w.retire(ctx, index, lasts, version) })
		waiting.For(ctx, releaseGap)
	}
	all.Wait()
}

// nextRelease gives the version of the next release, and the upstreams in the order in which they
// are replaced.
func (w *world) nextRelease() (version string, order []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.releases++
	version = strconv.Itoa(1 + w.releases%versions)
	var others []int
	for i := range w.options.Upstreams {
		if w.upstreams[i].engine.Software == strconv.Itoa(1+(w.releases-1)%versions) {
			others = append(others, i)
		} else {
			order = append(order, i)
		}
	}
	return version, append(order, others...)
}

// herdShares are the shares of the routers that are killed at once.
var herdShares = []float64{0.1, 0.5, 1}

func herdKill(ctx context.Context, w *world, f fault) {
	share := w.options.Herd
	if share == 0 {
		share = herdShares[f.index%len(herdShares)]
	}
	var all sync.WaitGroup
	count := max(1, int(share*float64(len(w.routers))+0.5))
	for n := range count {
		one := f
		one.index, one.lasts = (int(f.at.Milliseconds())+n)%len(w.routers), min(f.lasts, herdLasts)
		all.Go(func() { kill(ctx, w, one) })
	}
	all.Wait()
}
