package slopes

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Configuration measures snapshots of shares of the letter's size.
type Configuration struct {
	Shares []float64
	Rounds int
}

const (
	perOrg      = "organisations (with 2100/710 upstreams each)"
	arriveAfter = 5 * time.Second
)

func (c Configuration) run(ctx context.Context, dir string, r *Report) error {
	for _, share := range c.Shares {
		if err := c.share(ctx, dir, share, r); err != nil {
			return err
		}
	}
	return nil
}

func (c Configuration) share(ctx context.Context, dir string, share float64, r *Report) error {
	s := snapshot(share)
	x := float64(len(s.Organisations))
	data, err := resource.Encode(s)
	if err != nil {
		return err
	}
	decoded, err := resource.Decode(data)
	if err != nil {
		return err
	}
	r.add("config/encoded", perOrg, "bytes", Point{x, float64(len(data))})
	r.add("config/encode", perOrg, "us", Point{x, c.time(func() { _, _ = resource.Encode(s) })})
	r.add("config/decode", perOrg, "us", Point{x, c.time(func() { _, _ = resource.Decode(data) })})
	r.add("config/index", perOrg, "us", Point{x, c.time(func() { resource.NewIndex(decoded) })})
	r.add("config/memory", perOrg, "bytes", Point{x, held(func() any { return index(data) })})
	return c.distribute(ctx, dir, data, x, r)
}

func index(data []byte) *resource.Index {
	s, err := resource.Decode(data)
	if err != nil {
		return nil
	}
	return resource.NewIndex(s)
}

// time gives the processor microseconds of f.
func (c Configuration) time(f func()) float64 {
	start := processorTime()
	for range c.Rounds {
		f()
	}
	return micros(processorTime()-start) / float64(c.Rounds)
}

// arrival tells when a configuration came.
type arrival chan struct{}

// HandleFrame implements peer.Handler.
func (a arrival) HandleFrame(_ wire.RouterID, f *wire.Frame) {
	if len(f.Configs)+len(f.Pings) > 0 {
		a <- struct{}{}
	}
}

func (a arrival) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, arriveAfter)
	defer cancel()
	select {
	case <-a:
		return nil
	case <-ctx.Done():
		return errors.New("a frame didn't arrive")
	}
}

// distribute sends one snapshot over an open connection.
func (c Configuration) distribute(ctx context.Context, dir string, data []byte, x float64, r *Report) error {
	n, err := newNodes(dir)
	if err != nil {
		return err
	}
	defer n.close()
	came := make(arrival, 1)
	from, err := n.add(accepting, 0, came)
	if err != nil {
		return err
	}
	if _, err = n.add(other, 0, came); err != nil {
		return err
	}
	from.Send(other, func(f *wire.Frame) { f.Pings = append(f.Pings, samplePing()) })
	if err := came.await(ctx); err != nil {
		return err
	}
	m := startMeter(n.all...)
	from.Send(other, func(f *wire.Frame) { f.Configs = append(f.Configs, wire.ConfigData{Version: 2, Data: data}) })
	if err := came.await(ctx); err != nil {
		return err
	}
	wait(ctx, heartbeat) // acknowledgements
	sent := m.stop().traffic
	r.add("config/wire-sent", perOrg, "bytes by the giver", Point{x, float64(sent[0].BytesSent)})
	r.add("config/wire-acks", perOrg, "bytes by the taker", Point{x, float64(sent[1].BytesSent)})
	return nil
}
