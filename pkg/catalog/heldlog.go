package catalog

import (
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxHeldNames bounds the instances that one log line names.
const maxHeldNames = 20

// logHeld logs instances that are missing from the list, or were removed from it, and are held for
// the grace period after an outage.
func (c *Catalog) logHeld(held []upstream.Instance, now time.Time, source string) {
	if len(held) == 0 {
		return
	}
	c.heldCount += int64(len(held))
	names := make([]upstream.ID, 0, maxHeldNames)
	for _, in := range held[:min(len(held), maxHeldNames)] {
		names = append(names, in.ID)
	}
	c.log.WithFields(log.Fields{"event": "instances_held", "instances": names, "held": len(held), "revision": c.revision, "source": source,
		"left_ms": c.held.graceEnd.Sub(now).Milliseconds()}).Warn("instances missing from the list are held for a grace period")
}
