package config

import "testing"

// A large fleet whose confirmations pass many hops would read the table at every router.
func TestPollersGrowSlowlyWithTheFleet(t *testing.T) {
	for alive, want := range map[int]int{0: 2, 1: 2, 8: 2, 31: 2, 330: 12} {
		if got := pollers(alive); got != want {
			t.Errorf("%d pollers of %d routers, want %d", got, alive, want)
		}
	}
}
