package gatewayd

import (
	"math"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/pace"
)

// encodePauses encodes the pauses at a service's engines for a report, without trailing empty
// buckets.
func encodePauses(service string, p pace.Pauses) fleet.Pauses {
	reported := fleet.Pauses{Service: service}
	for i := range pace.PauseBuckets {
		if p.Count[i] <= 0 {
			continue
		}
		for len(reported.Count) <= i {
			reported.Ms, reported.Count = append(reported.Ms, 0), append(reported.Count, 0)
		}
		reported.Ms[i], reported.Count[i] = int(math.Round(p.Ms[i])), int(math.Round(p.Count[i]))
	}
	return reported
}

// decodePauses decodes reported pauses and ignores unknown buckets.
func decodePauses(reported fleet.Pauses) pace.Pauses {
	var p pace.Pauses
	for i := range min(pace.PauseBuckets, len(reported.Ms), len(reported.Count)) {
		p.Ms[i], p.Count[i] = float64(reported.Ms[i]), float64(reported.Count[i])
	}
	return p
}
