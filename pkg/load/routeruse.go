package load

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// RouterUse is what one router used during a run.
type RouterUse struct {
	ID string `json:"id"`
	// CPUShare is the processor time over the run's time: 1 is one whole processor.
	CPUShare float64 `json:"cpu_share"`
	// RSSMB is the resident memory at the end, in MiB.
	RSSMB float64 `json:"rss_mb"`
	// BytesPerSecond and PacketsPerSecond count control traffic sent and received.
	BytesPerSecond   float64 `json:"control_bytes_s"`
	PacketsPerSecond float64 `json:"control_packets_s"`
	// Claims were made by the router, and OwnClaims of them to cells that it keeps itself.
	Claims    float64 `json:"claims"`
	OwnClaims float64 `json:"own_claims"`
}

const bytesPerMiB = 1 << 20

// reading is one look at a router.
type reading struct {
	pid   int
	usage Usage
	wire  Wire
	fault error
}

// readRouters looks at all routers. A router that can't be read (it was killed a
// moment ago) has its fault in the reading.
func readRouters(ctx context.Context, routers []devfleet.RouterInfo) []reading {
	list := make([]reading, len(routers))
	for i, r := range routers {
		list[i] = readRouter(ctx, r, len(routers) == 1)
	}
	return list
}

// readRouter looks at one router; one that is alone has no peers and no control traffic.
func readRouter(ctx context.Context, r devfleet.RouterInfo, alone bool) reading {
	usage, err := readUsage(r.PID)
	if err != nil {
		return reading{pid: r.PID, fault: errors.Annotate(err, r.ID)}
	}
	wire, err := readWire(ctx, r.Metrics)
	if alone && errors.Is(err, errNoCounter) {
		err = nil
	}
	return reading{pid: r.PID, usage: usage, wire: wire, fault: errors.Annotate(err, r.ID)}
}

// Bounds of the wait for the counters of control traffic.
const (
	countersWithin = 2 * time.Second
	countersEvery  = 50 * time.Millisecond
	// countersLag is how old the shown counters may be: the routers bring them up to
	// date every half second and publish them every second.
	countersLag = 2 * time.Second
)

// awaitCounters reads all routers once they show the counters of control traffic: a
// counter is shown some time after its first use. Reading them as zero before would
// count what the fleet said at its start as control traffic of the load, and so would
// reading them before the handshakes of the warm-up, some 60 KB a router, are shown.
func awaitCounters(ctx context.Context, routers []devfleet.RouterInfo) []reading {
	pauseUntil(ctx, time.Now().Add(countersLag))
	ctx, cancel := context.WithTimeout(ctx, countersWithin)
	defer cancel()
	for {
		list := readRouters(ctx, routers)
		if len(faultsOf(list)) == 0 || !pauseUntil(ctx, time.Now().Add(countersEvery)) {
			return list
		}
	}
}

// routerUses compares two looks that were passed apart.
func routerUses(routers []devfleet.RouterInfo, before, after []reading, passed time.Duration) []RouterUse {
	uses := make([]RouterUse, len(routers))
	for i, r := range routers {
		cpu := after[i].usage.CPU
		if after[i].pid == before[i].pid {
			cpu -= before[i].usage.CPU
		}
		wire := after[i].wire.since(before[i].wire)
		uses[i] = RouterUse{
			ID:               r.ID,
			CPUShare:         cpu.Seconds() / passed.Seconds(),
			RSSMB:            float64(after[i].usage.RSS) / bytesPerMiB,
			BytesPerSecond:   (wire.BytesSent + wire.BytesReceived) / passed.Seconds(),
			PacketsPerSecond: (wire.PacketsSent + wire.PacketsReceived) / passed.Seconds(),
			Claims:           wire.Claims,
			OwnClaims:        wire.Own,
		}
	}
	return uses
}

func faultsOf(readings ...[]reading) []string {
	var list []string
	for _, part := range readings {
		for _, r := range part {
			if r.fault != nil {
				list = append(list, r.fault.Error())
			}
		}
	}
	return list
}
