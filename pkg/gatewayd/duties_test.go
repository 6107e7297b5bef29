package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type place struct{ count, rank int }

func (p place) Count() int { return p.count }

func (p place) Rank() int { return p.rank }

// Every router's own questions would be most of what a large fleet asks of the store; none
// asking would leave it without changes.
func TestFewRoutersReadForAll(t *testing.T) {
	for _, one := range []struct {
		place             place
		instances, config bool
	}{
		{place{count: 1, rank: 0}, true, true},
		{place{count: 8, rank: 7}, false, true},
		{place{count: 86, rank: 2}, true, true},
		{place{count: 86, rank: 3}, false, false},
	} {
		d := duties{ranks: one.place}
		require.Equal(t, one.instances, d.ReadsInstances(), one.place)
		require.Equal(t, one.config, d.ReadsConfig(), one.place)
	}
}
