package load

import (
	"sync"
	"time"
)

// avoidFor is how long an entry that refused a connection is left alone.
const avoidFor = time.Second

// entryPicker chooses the entry for each request of one organisation: its own ones
// in turn, any other while all of them refuse connections.
type entryPicker struct {
	own, others []string

	mu    sync.Mutex
	turn  int
	avoid map[string]time.Time
}

func newEntryPicker(entries []string, own []int) *entryPicker {
	p := &entryPicker{others: entries, avoid: make(map[string]time.Time)}
	for _, i := range own {
		p.own = append(p.own, entries[i%len(entries)])
	}
	return p
}

func (p *entryPicker) pick(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	for _, list := range [][]string{p.own, p.others} {
		for i := range list {
			entry := list[(p.turn+i)%len(list)]
			if !now.Before(p.avoid[entry]) {
				return entry
			}
		}
	}
	return p.own[p.turn%len(p.own)]
}

// refused notes that an entry didn't take a connection.
func (p *entryPicker) refused(entry string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid[entry] = now.Add(avoidFor)
}
