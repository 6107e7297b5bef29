package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// The store comes back after an outage and all entries have lapsed. One upstream writes itself in
// again just as the grace ends: the router reads its entry, sees nothing new, and then takes the
// upstream off its list as one that stayed away. Another router reads the whole list and has it.
// From then on their lists differ at the same revision, and the first tells a third that nothing
// has changed when that upstream leaves: requests reached it 2.3 s after it had said so.
//
//	14.7524 a-2 instance_changed gone=true revision=56 source="grace after an outage"
//	27.6249 a-1 instances_read instances=17 revision=60 (a-2 has 15 at revision 60)
func TestAnUpstreamThatReappearsAsTheGracePeriodEndsStays(t *testing.T) {
	one := upstream.Instance{ID: "one", Service: "s", State: upstream.Ready}
	for name, comes := range map[string]func(*Catalog){
		"as a change":       func(c *Catalog) { c.Apply([]upstream.Change{{Instance: one}}, 2, 3, time.Now(), "store") },
		"in the whole list": func(c *Catalog) { c.Replace([]upstream.Instance{one}, 3, time.Now(), "store") },
		"after a whole list": func(c *Catalog) {
			c.Replace(nil, 3, time.Now(), "store")
			c.Apply([]upstream.Change{{Instance: one}}, 3, 4, time.Now(), "store")
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, _ := newTestLogger()
			c := New(l)
			c.Replace([]upstream.Instance{one}, 1, time.Now(), "store")
			time.Sleep(2 * minOutage)
			c.Replace(nil, 2, time.Now(), "store")
			require.NotNil(t, c.Instances().Get("one"), "kept for the grace")
			time.Sleep(gracePeriod)
			comes(c)
			keepContact(0, c)
			require.NotNil(t, c.Instances().Get("one"), name)
			set, _, _ := c.List()
			require.NotNil(t, set.Get("one"), "others are told of it, %s", name)
		})
	}
}
