package affinity

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// clockTolerance is how far the store's clock and this router's may run apart between two readings: quartz clocks drift by
// less in hours.
const clockTolerance = 2 * time.Second

// SetSince returns by how much the store's clock was set since the reading before; 0 for not at all.
func (r Reading) SetSince(before Reading) time.Duration {
	if before.Received.IsZero() {
		return 0
	}
	least, most := before.Clock+r.Sent.Sub(before.Received), before.Clock+r.Received.Sub(before.Sent)
	switch {
	case r.Clock < least-clockTolerance:
		return r.Clock - least
	case r.Clock > most+clockTolerance:
		return r.Clock - most
	}
	return 0
}

// Redated returns the reading by which the rows are to be dated, and whether it differs from the one that read them. If none
// of them fits the clock, either that was set since they were written, or nobody has written for long. In the second case
// nobody resumes their streams any more, so they are dated as in the first: the newest was written just now.
func (r Reading) Redated(rows []BatchRow) (dated Reading, differs bool) {
	var newest *batch
	for _, row := range rows {
		b := new(batch)
		if cbor.Unmarshal(row.Value, b) != nil || b.check() != nil {
			continue
		}
		if newest == nil || b.AsOfMs > newest.AsOfMs {
			newest = b
		}
		if age := b.age(r); age >= -maxBatchAhead && age < minStreamLife+openAfter {
			return r, false
		}
	}
	if newest == nil {
		return r, false
	}
	r.Clock = time.Duration(newest.AsOfMs) * time.Millisecond
	return r, true
}
