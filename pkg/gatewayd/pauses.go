package gatewayd

import (
	"math"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/pace"
)

// encodePauses gives what reports say of the pauses at a service's engines, without the empty
// buckets at the end.
func encodePauses(service string, p pace.Pauses) fleet.Pauses {
	told := fleet.Pauses{Service: service}
	for i := range pace.PauseBuckets {
		if p.Count[i] <= 0 {
			continue
		}
		for len(told.Count) <= i {
			told.Ms, told.Count = append(told.Ms, 0), append(told.Count, 0)
		}
		told.Ms[i], told.Count[i] = int(math.Round(p.Ms[i])), int(math.Round(p.Count[i]))
	}
	return told
}

// decodePauses reads them; buckets beyond those that are known are left out.
func decodePauses(told fleet.Pauses) pace.Pauses {
	var p pace.Pauses
	for i := range min(pace.PauseBuckets, len(told.Ms), len(told.Count)) {
		p.Ms[i], p.Count[i] = float64(told.Ms[i]), float64(told.Count[i])
	}
	return p
}
