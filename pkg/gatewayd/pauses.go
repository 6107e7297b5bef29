package gatewayd

import (
	"math"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/pace"
)

// encodePauses gives what reports say of the pauses at a service's engines, without the empty
// buckets at the end.
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

// decodePauses reads them; buckets beyond those that are known are left out.
func decodePauses(reported fleet.Pauses) pace.Pauses {
	var p pace.Pauses
	for i := range min(pace.PauseBuckets, len(reported.Ms), len(reported.Count)) {
		p.Ms[i], p.Count[i] = float64(reported.Ms[i]), float64(reported.Count[i])
	}
	return p
}
