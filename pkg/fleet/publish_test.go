package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A hub answers hundreds of requests per second, and each answer adds up all reports. If that
// counted as publishing to the hub itself, it would use old loads as long as it is busy.
func TestABusyHubPublishesOthersWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Member{Name: "h", Peers: "h"}, &router{reported: make(chan struct{}, 1)}, discardLog)
		f.role = role{hub: true}
		published := 0
		for range 500 {
			f.mu.Lock()
			f.sumReports(time.Now())
			if _, publish := f.othersToPublish(time.Now()); publish {
				published++
			}
			f.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
		}
		require.InDelta(t, time.Second/sumMaxAge, published, 2)
	})
}
