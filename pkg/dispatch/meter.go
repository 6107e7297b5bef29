package dispatch

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Progress is told after this many tokens or this much time, whichever is first.
const (
	progressTokens = 16
	progressEvery  = 100 * time.Millisecond
)

// meter measures one streamed answer.
type meter struct {
	slot   sched.Slot
	gap    func(time.Duration)
	began  time.Time
	first  time.Time
	last   time.Time
	events int
	usage  int
	told   int
	toldAt time.Time
}

func (m *meter) event(now time.Time, data []byte) {
	if n, ok := usageOf(data); ok {
		m.usage = max(m.usage, n)
		return
	}
	m.events++
	if m.events == 1 {
		m.first, m.toldAt = now, now
	} else if m.gap != nil {
		m.gap(now.Sub(m.last))
	}
	m.last = now
	if m.events-m.told >= progressTokens || now.Sub(m.toldAt) >= progressEvery {
		m.told, m.toldAt = m.events, now
		m.slot.Progress(wire.Units(m.events))
	}
}

// tokens is the engine's own count when it gave one.
func (m *meter) tokens() int {
	if m.usage > 0 {
		return m.usage
	}
	return m.events
}

func (m *meter) firstTime() time.Duration {
	if m.events == 0 {
		return 0
	}
	return m.first.Sub(m.began)
}

func (m *meter) step() time.Duration {
	if m.events < 2 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.events-1)
}
