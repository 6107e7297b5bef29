package dispatch

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Progress is reported after this many tokens or this much time, whichever comes first.
const (
	progressTokens   = 16
	progressInterval = 100 * time.Millisecond
)

// meter measures one stream.
type meter struct {
	slot       sched.Slot
	onGap      func(time.Duration)
	sentAt     time.Time
	firstAt    time.Time
	lastAt     time.Time
	events     int
	usage      int
	reported   int
	reportedAt time.Time
}

func (m *meter) observe(now time.Time, data []byte) {
	if n, ok := completionTokensOf(data); ok {
		m.usage = max(m.usage, n)
		return
	}
	m.events++
	if m.events == 1 {
		m.firstAt, m.reportedAt = now, now
	} else if m.onGap != nil {
		m.onGap(now.Sub(m.lastAt))
	}
	m.lastAt = now
	if m.events-m.reported >= progressTokens || now.Sub(m.reportedAt) >= progressInterval {
		m.reported, m.reportedAt = m.events, now
		m.slot.Progress(wire.Units(m.events))
	}
}

// tokens returns the engine's own count, or else the number of events.
func (m *meter) tokens() int {
	if m.usage > 0 {
		return m.usage
	}
	return m.events
}

func (m *meter) timeToFirst() time.Duration {
	if m.events == 0 {
		return 0
	}
	return m.firstAt.Sub(m.sentAt)
}

func (m *meter) meanInterval() time.Duration {
	if m.events < 2 {
		return 0
	}
	return m.lastAt.Sub(m.firstAt) / time.Duration(m.events-1)
}
