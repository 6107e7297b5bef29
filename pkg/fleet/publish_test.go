package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A hub answers hundreds of questions a second, and each answer adds up what it has heard. If
// that counted as telling the hub itself, it would go by old loads as long as it is busy.
func TestABusyHubIsToldOfOthersWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Member{Name: "h", Peers: "h"}, &router{heard: make(chan struct{}, 1)}, quiet)
		f.last = role{hub: true}
		told := 0
		for range 500 {
			f.mu.Lock()
			f.heard(time.Now())
			if _, publish := f.published(time.Now()); publish {
				told++
			}
			f.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
		}
		require.InDelta(t, time.Second/sumEvery, told, 2)
	})
}
