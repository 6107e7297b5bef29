package slopes

import (
	"context"
	"time"

	"github.com/flamingowind/flamingowind/pkg/peer"
)

// cost is what a span of time took: traffic by transport, processor time of the process.
type cost struct {
	seconds float64
	cpu     time.Duration
	traffic []peer.Stats // differences
}

// meter counts over a span of time.
type meter struct {
	transports []*peer.Transport
	start      time.Time
	cpu        time.Duration
	before     []peer.Stats
}

func startMeter(transports ...*peer.Transport) *meter {
	m := &meter{transports: transports, start: time.Now(), cpu: processorTime()}
	for _, t := range transports {
		m.before = append(m.before, t.Stats())
	}
	return m
}

func (m *meter) stop() cost {
	c := cost{seconds: time.Since(m.start).Seconds(), cpu: processorTime() - m.cpu}
	for i, t := range m.transports {
		c.traffic = append(c.traffic, difference(t.Stats(), m.before[i]))
	}
	return c
}

func difference(after, before peer.Stats) peer.Stats {
	return peer.Stats{
		BytesSent:       after.BytesSent - before.BytesSent,
		BytesReceived:   after.BytesReceived - before.BytesReceived,
		PacketsSent:     after.PacketsSent - before.PacketsSent,
		PacketsReceived: after.PacketsReceived - before.PacketsReceived,
		FramesSent:      after.FramesSent - before.FramesSent,
	}
}

// over measures the transports for a time in which load runs elsewhere.
func over(ctx context.Context, d time.Duration, transports ...*peer.Transport) cost {
	m := startMeter(transports...)
	wait(ctx, d)
	return m.stop()
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// perNode gives the mean of a counter over all transports, a second.
func (c cost) perNode(counter func(peer.Stats) uint64) float64 {
	var sum uint64
	for _, t := range c.traffic {
		sum += counter(t)
	}
	return float64(sum) / float64(len(c.traffic)) / c.seconds
}

func bytesSent(s peer.Stats) uint64     { return s.BytesSent }
func bytesReceived(s peer.Stats) uint64 { return s.BytesReceived }
func packetsSent(s peer.Stats) uint64   { return s.PacketsSent }
