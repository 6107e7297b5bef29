package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an outage of the store that is hidden by merging contacts.
func TestMergedContactsHideNoOutage(t *testing.T) {
	start := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		// The store responds at these times; each router receives some of the responses.
		responses := rapid.SliceOfN(rapid.IntRange(0, 600), 1, 60).Draw(t, "responses")
		at := func(tenths int) time.Time { return start.Add(time.Duration(tenths) * 100 * time.Millisecond) }
		var routers [3]Contact
		received := make(map[int]bool)
		for tenth := range 601 {
			for _, a := range responses {
				if a == tenth {
					i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
					routers[i] = routers[i].merge(Contact{Since: at(a), Until: at(a)})
					received[a] = true
				}
			}
			i, j := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			routers[j] = routers[j].merge(routers[i])
			for _, r := range routers {
				if r.Until.IsZero() {
					continue
				}
				last := r.Since
				for step := r.Since; !step.After(r.Until); step = step.Add(100 * time.Millisecond) {
					if received[int(step.Sub(start)/(100*time.Millisecond))] {
						require.Less(t, step.Sub(last), minOutage)
						last = step
					}
				}
				require.Equal(t, r.Until, last, "the contact ends with a response")
			}
		}
	})
}
