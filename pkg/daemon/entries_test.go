package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A model has fifteen keepers and an answer holds eight addresses. Over all organisations
// every keeper must be told to some, in first place too, or it never serves its own cell.
func TestEveryKeeperIsToldToSomeCallers(t *testing.T) {
	var keepers []wire.RouterID
	for i := range 15 {
		keepers = append(keepers, wire.RouterID(fmt.Sprint("router-", i)))
	}
	first := make(map[wire.RouterID]int)
	for i := range 710 {
		list := turned(fmt.Sprint("org-", i), keepers)
		require.ElementsMatch(t, keepers, list)
		require.Equal(t, list, turned(fmt.Sprint("org-", i), keepers))
		first[list[0]]++
	}
	require.Len(t, first, len(keepers))
	require.Nil(t, turned("org", nil))
}
