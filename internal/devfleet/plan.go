package devfleet

import (
	"fmt"
	"time"

	"github.com/flamingowind/flamingowind/pkg/settings"
)

// Plan says which fleet to start.
type Plan struct {
	// BinDir holds flamingowindd and flamingowind-standin.
	BinDir string
	// Dir gets settings, certificates and logs.
	Dir string
	// Routers is the number of router processes.
	Routers int
	// Zones are the availability zones; routers and upstreams are spread over them in turn.
	Zones []string
	// Model and Service are the names that callers use.
	Model, Service string
	// Engines and Services are the numbers of upstreams.
	Engines, Services int
	// EnginesPerProcess puts several engines into one process; 0 takes 1.
	EnginesPerProcess int
	// Fenceless is how many engines, the first ones, follow orders with old fencing
	// numbers; the others refuse them. Counted by process when these serve several.
	Fenceless int
	// Slots is the number of requests an engine, and a service, runs at once.
	Slots int
	// MaxSlots bounds the adaptive limit of an engine; 0 fixes the limit at Slots.
	MaxSlots int
	// CellSize is the model pool's cell size; 0 takes the default.
	CellSize int
	// Step is the time of one engine step, Call the time of one service call.
	Step, Call time.Duration
	// Organisations are created with one API key each.
	Organisations []OrgPlan
	// Mode is the sharing mode; SharingAlone gives router i slice i of Routers.
	Mode settings.SharingMode
	// Relays puts a relay before each router's peer address, each router's platform
	// link and each upstream, so that tests can cut and delay them.
	Relays bool
	// Adjust changes a router's settings before they are written; nil changes nothing.
	Adjust func(index int, s *settings.Settings)
}

// OrgPlan is one organisation to create.
type OrgPlan struct {
	Name   string
	Weight float64
}

// DemoPlan is the small fleet of the demo: three routers in two zones.
func DemoPlan(binDir, dir string) Plan {
	return Plan{
		BinDir: binDir, Dir: dir,
		Routers: 3, Zones: []string{"klang-1", "klang-2", "klang-3"},
		Model: "tutor", Service: "records",
		Engines: 3, Services: 2, Slots: 8,
		Step: 5 * time.Millisecond, Call: 5 * time.Millisecond,
		Organisations: Organisations(3),
		Mode:          settings.SharingFleet,
	}
}

// Organisations returns n organisations of weight 1: "org-01", "org-02", …
func Organisations(n int) []OrgPlan {
	orgs := make([]OrgPlan, n)
	for i := range orgs {
		orgs[i] = OrgPlan{Name: fmt.Sprintf("org-%02d", i+1), Weight: 1}
	}
	return orgs
}

func (p Plan) zone(i int) string { return p.Zones[i%len(p.Zones)] }

func (p Plan) perProcess() int { return max(1, p.EnginesPerProcess) }
