package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// The store recovers from an outage in which all entries expired. One upstream registers again just
// as the grace period ends: the router reads its entry, sees no change, and then removes the upstream
// as one that is still missing. Another router reads the whole list, which contains it. From then on
// their lists differ at the same revision, and the first router reports "unchanged" to a third when
// that upstream leaves, so that requests reach it 2.3 s after it announced its departure.
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
			require.NotNil(t, c.Instances().Get("one"), "held for the grace period")
			time.Sleep(gracePeriod)
			comes(c)
			keepContact(0, c)
			require.NotNil(t, c.Instances().Get("one"), name)
			set, _, _ := c.List()
			require.NotNil(t, set.Get("one"), "peers receive it, %s", name)
		})
	}
}
