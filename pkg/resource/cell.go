package resource

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Cell is a group of upstreams of one pool that one router keeps.
type Cell struct {
	ID        wire.CellID
	Pool      *Pool
	Upstreams []*Upstream // by name
}

// Pools over one cell get a quarter more cells than they need: with room in most
// cells, a new upstream displaces few others.
const slackNum, slackDen = 5, 4

func cellCount(upstreams, size int) int {
	if upstreams <= size {
		return 1
	}
	return (upstreams*slackNum + size*slackDen - 1) / (size * slackDen)
}

// cut places a pool's upstreams into cells of at most p.CellSize. Each upstream goes
// to its highest-ranked cell (rendezvous hashing) with room; they choose in order of
// name. All routers cut alike, and adding one upstream moves few others.
func cut(p *Pool, upstreams []*Upstream) []*Cell {
	sorted := append([]*Upstream(nil), upstreams...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	cells := make([]*Cell, cellCount(len(sorted), p.CellSize))
	for i := range cells {
		cells[i] = &Cell{ID: wire.CellID(p.Name + "/" + strconv.Itoa(i)), Pool: p}
	}
	for _, u := range sorted {
		c := bestWithRoom(cells, u.Name, p.CellSize)
		c.Upstreams = append(c.Upstreams, u)
	}
	return cells
}

func bestWithRoom(cells []*Cell, upstream string, size int) *Cell {
	var best *Cell
	var bestScore uint64
	for _, c := range cells {
		if len(c.Upstreams) >= size {
			continue
		}
		score := xxhash.Sum64String(string(c.ID) + "\x00" + upstream)
		if best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}
