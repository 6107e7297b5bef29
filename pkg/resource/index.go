package resource

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Index answers lookups in one snapshot. It is built once and never changed, so that
// holders share it without locks. What it returns has the defaults filled in, and
// must not be changed. Lookups return nil for what doesn't exist.
type Index struct {
	snapshot      *Snapshot
	organisations map[string]*Organisation
	byKeyHash     map[string]*Organisation
	pools         map[string]*Pool
	upstreams     map[string]*Upstream
	models        map[string]*Route
	services      map[string]*Route
	modelNames    []string
	cellsOf       map[string][]*Cell
	cells         map[wire.CellID]*Cell
	cellOf        map[string]*Cell
}

// NewIndex builds the index of a valid snapshot.
func NewIndex(s *Snapshot) *Index {
	x := &Index{
		snapshot:      s,
		organisations: make(map[string]*Organisation),
		byKeyHash:     make(map[string]*Organisation),
		pools:         make(map[string]*Pool),
		upstreams:     make(map[string]*Upstream),
		models:        make(map[string]*Route),
		services:      make(map[string]*Route),
		cellsOf:       make(map[string][]*Cell),
		cells:         make(map[wire.CellID]*Cell),
		cellOf:        make(map[string]*Cell),
	}
	x.addOrganisations()
	x.addRoutes()
	x.addCells()
	return x
}

func (x *Index) addOrganisations() {
	for _, o := range x.snapshot.Organisations {
		o.Weight = orDefault(o.Weight, DefaultWeight)
		o.MaxQueued = orDefault(o.MaxQueued, DefaultMaxQueued)
		x.organisations[o.Name] = &o
		for _, h := range o.KeyHashes {
			x.byKeyHash[h] = &o
		}
	}
}

func (x *Index) addRoutes() {
	for _, r := range x.snapshot.Routes {
		if r.Service != "" {
			x.services[r.Service] = &r
			continue
		}
		x.models[r.Model] = &r
		x.modelNames = append(x.modelNames, r.Model)
	}
	slices.Sort(x.modelNames)
}

func (x *Index) addCells() {
	members := make(map[string][]*Upstream)
	for _, u := range x.snapshot.Upstreams {
		u.Slots = orDefault(u.Slots, DefaultSlots)
		x.upstreams[u.Name] = &u
		members[u.Pool] = append(members[u.Pool], &u)
	}
	for _, p := range x.snapshot.Pools {
		p.CellSize = orDefault(p.CellSize, DefaultCellSize)
		p.CallUnits = orDefault(p.CallUnits, DefaultCallUnits)
		x.pools[p.Name] = &p
		x.cellsOf[p.Name] = cut(&p, members[p.Name])
		for _, c := range x.cellsOf[p.Name] {
			x.addCell(c)
		}
	}
}

func (x *Index) addCell(c *Cell) {
	x.cells[c.ID] = c
	for _, u := range c.Upstreams {
		x.cellOf[u.Name] = c
	}
}

func orDefault[T int | float64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// KeyHash returns the form in which an API key is declared: its SHA-256 sum in hex.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot returns what the index was built from.
func (x *Index) Snapshot() *Snapshot { return x.snapshot }

// Version returns the snapshot's version.
func (x *Index) Version() uint64 { return x.snapshot.Version }

// Organisation finds an organisation by name.
func (x *Index) Organisation(name string) *Organisation { return x.organisations[name] }

// ByKeyHash finds the organisation that owns an API key, by KeyHash(key).
func (x *Index) ByKeyHash(hash string) *Organisation { return x.byKeyHash[hash] }

// Pool finds a pool by name.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Upstream finds an upstream by name.
func (x *Index) Upstream(name string) *Upstream { return x.upstreams[name] }

// Model finds the route of a model name.
func (x *Index) Model(name string) *Route { return x.models[name] }

// Service finds the route of a service name.
func (x *Index) Service(name string) *Route { return x.services[name] }

// Models lists the model names that have a route, sorted.
func (x *Index) Models() []string { return x.modelNames }

// Cells lists the cells of a pool, "pool/0" first. A pool without upstreams has one empty cell.
func (x *Index) Cells(pool string) []*Cell { return x.cellsOf[pool] }

// Cell finds a cell by its ID.
func (x *Index) Cell(id wire.CellID) *Cell { return x.cells[id] }

// CellOf finds the cell that an upstream belongs to.
func (x *Index) CellOf(upstream string) *Cell { return x.cellOf[upstream] }
