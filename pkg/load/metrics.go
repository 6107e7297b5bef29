package load

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Counters of the routers' metrics endpoint.
const (
	wireBytesSent       = "flamingowind_peer_wire_bytes_sent"
	wireBytesReceived   = "flamingowind_peer_wire_bytes_received"
	wirePacketsSent     = "flamingowind_peer_wire_packets_sent"
	wirePacketsReceived = "flamingowind_peer_wire_packets_received"
	claimsSent          = "flamingowind_claimant_claims"
	claimsOwn           = "flamingowind_claimant_claims_own"
)

// Wire is what a router sent to and received from other routers since its start.
type Wire struct {
	BytesSent, BytesReceived, PacketsSent, PacketsReceived float64
	// Claims were made, and Own of them to cells that the router keeps itself.
	Claims, Own float64
}

// errNoCounter says that a router doesn't expose the counters of control traffic.
const errNoCounter = errors.ConstError("no counter of control traffic")

// readWire reads the counters from a router's metrics address ("ip:port").
func readWire(ctx context.Context, addr string) (Wire, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return Wire{}, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Wire{}, errors.Annotate(err, "read metrics")
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return Wire{}, errors.Annotate(err, "read metrics")
	}
	return wireOf(families)
}

func wireOf(families map[string]*dto.MetricFamily) (Wire, error) {
	var w Wire
	for name, target := range map[string]*float64{
		wireBytesSent: &w.BytesSent, wireBytesReceived: &w.BytesReceived,
		wirePacketsSent: &w.PacketsSent, wirePacketsReceived: &w.PacketsReceived,
	} {
		family, ok := families[name]
		if !ok {
			return Wire{}, errors.Annotate(errNoCounter, name)
		}
		*target = sum(family)
	}
	// These appear with the first claim of their kind, which may never come.
	w.Claims, w.Own = sumOrZero(families[claimsSent]), sumOrZero(families[claimsOwn])
	return w, nil
}

func sumOrZero(f *dto.MetricFamily) float64 {
	if f == nil {
		return 0
	}
	return sum(f)
}

// sum adds up all series of a family.
func sum(f *dto.MetricFamily) float64 {
	var total float64
	for _, m := range f.GetMetric() {
		switch {
		case m.Counter != nil:
			total += m.Counter.GetValue()
		case m.Gauge != nil:
			total += m.Gauge.GetValue()
		case m.Untyped != nil:
			total += m.Untyped.GetValue()
		}
	}
	return total
}

// since returns the growth from an earlier reading. A counter that fell belongs to a
// router that was restarted: it counts from zero.
func (w Wire) since(before Wire) Wire {
	if w.BytesSent < before.BytesSent || w.PacketsSent < before.PacketsSent {
		before = Wire{}
	}
	return Wire{
		w.BytesSent - before.BytesSent, w.BytesReceived - before.BytesReceived,
		w.PacketsSent - before.PacketsSent, w.PacketsReceived - before.PacketsReceived,
		w.Claims - before.Claims, w.Own - before.Own,
	}
}
