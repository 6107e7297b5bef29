package soak

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// zones is the number of availability zones that upstreams are in.
const zones = 3

func zoneOf(index int) string { return "z" + strconv.Itoa(index%zones) }

// ofZones are faults of availability zones. Each makes upstreams cold.
var ofZones = map[string]action{"zone_evacuated": evacuate, "zone_released": release}

// zonesEvery is the number of other faults for each of ofZones.
const zonesEvery = 8

// planZones gives those faults of a seed, beside plan and planLives.
func planZones(o Options) []fault { return planApart(o, ofZones, 2, zonesEvery) }

// evacuate evacuates the zone of an upstream for longer than that takes to be in force. The zone
// comes back cold.
func evacuate(ctx context.Context, w *world, f fault) {
	zone := zoneOf(f.index)
	w.history.evacuate(zone)
	waiting.For(ctx, evacuateTime+late+f.lasts)
	w.restore(zone)
}

// heartbeat is how late an upstream's entry tells what changed.
const heartbeat = 500 * time.Millisecond

// restore takes a zone back unless another evacuation of it lasts.
func (w *world) restore(zone string) {
	w.mu.Lock()
	var list []*upstream
	if w.history.last(zone) {
		for _, u := range w.upstreams {
			if u.engine.Zone == zone {
				w.cool(u)
				list = append(list, u)
			}
		}
	}
	w.history.restore(zone)
	w.mu.Unlock()
	waiting.For(context.Background(), heartbeat)
	for _, u := range list {
		w.relist(u)
	}
}

// release replaces all upstreams of a zone at once; the new ones are cold.
func release(ctx context.Context, w *world, f fault) {
	var all sync.WaitGroup
	for index := range w.options.Upstreams {
		if zoneOf(index) == zoneOf(f.index) {
			all.Go(func() { retire(ctx, w, fault{index: index, lasts: f.lasts}) })
		}
	}
	all.Wait()
}

// cool makes an upstream cold from now on. It must be called before routers can know.
func (w *world) cool(u *upstream) {
	u.engine.Cool(warmup)
	w.history.cools(u.engine.ID)
}
