package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/internal/heldscope"
)

// Guards against requests that wait in line for a counter while a goroutine that has lost the
// processor makes another one.
func TestCountingWaitsForNoOtherRequest(t *testing.T) {
	o := newOutcomes(tally.NoopScope)
	o.count("stream", outcomeServed)
	held := heldscope.New()
	defer held.Release()
	o.scope = held
	go o.count("none", "not_found")
	held.Entered()
	held.RequireNoWait(t, func() { o.count("stream", outcomeServed) })
}

// Guards against lines that are left out and never told of as seconds change under many requests.
func TestLineBudgetLosesNoCountBetweenSeconds(t *testing.T) {
	const goroutines, seconds, each = 8, 20, 300
	var b lineBudget
	told := make(chan int64, goroutines)
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
			told <- lines
		}()
	}
	total := int64(0)
	for range goroutines {
		total += <-told
	}
	_, _, rest := b.allow(true, time.Unix(seconds, 0))
	require.EqualValues(t, goroutines*seconds*each, total+rest)
}
