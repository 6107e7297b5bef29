package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/internal/heldscope"
)

// Guards against requests that wait for a counter while a goroutine that was descheduled creates
// another one.
func TestCountingWaitsForNoOtherRequest(t *testing.T) {
	o := newOutcomeCounters(tally.NoopScope)
	o.count("stream", outcomeServed)
	scope := heldscope.New()
	defer scope.Release()
	o.scope = scope
	go o.count("none", "not_found")
	scope.Entered()
	scope.RequireNoWait(t, func() { o.count("stream", outcomeServed) })
}

// Guards against dropped lines that are never reported when many requests cross from one second to the
// next.
func TestLogBudgetLosesNoCountBetweenSeconds(t *testing.T) {
	const goroutines, seconds, each = 8, 20, 300
	var b logBudget
	counted := make(chan int64, goroutines)
	for range goroutines {
		go func() {
			lines := int64(0)
			for s := range seconds {
				for range each {
					ok, served, failed := b.allow(false, time.Unix(int64(s), 0))
					lines += served + failed
					if ok {
						lines++
					}
				}
			}
			counted <- lines
		}()
	}
	total := int64(0)
	for range goroutines {
		total += <-counted
	}
	_, _, rest := b.allow(true, time.Unix(seconds, 0))
	require.EqualValues(t, goroutines*seconds*each, total+rest)
}
