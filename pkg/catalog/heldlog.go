package catalog

import (
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxHeldNames bounds the instances that one line names.
const maxHeldNames = 20

// logHeld tells of instances that are missing from the list, or were removed from it, and are kept
// for the grace after an outage.
func (c *Catalog) logHeld(held []upstream.Instance, now time.Time, source string) {
	if len(held) == 0 {
		return
	}
	c.holds += int64(len(held))
	names := make([]upstream.ID, 0, maxHeldNames)
	for _, in := range held[:min(len(held), maxHeldNames)] {
		names = append(names, in.ID)
	}
	c.log.WithFields(log.Fields{"event": "instances_held", "instances": names, "held": len(held), "revision": c.revision, "source": source,
		"left_ms": c.lapsed.until.Sub(now).Milliseconds()}).Warn("instances are missing from the list and kept for a while")
}
