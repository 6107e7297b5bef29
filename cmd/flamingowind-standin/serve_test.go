package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPlaces(t *testing.T) {
	list, err := places("127.0.0.1:1,127.0.0.1:2", "e1,e2")
	require.NoError(t, err)
	require.Equal(t, []place{{"e1", "127.0.0.1:1"}, {"e2", "127.0.0.1:2"}}, list)
	for _, bad := range [][2]string{{"", ""}, {"127.0.0.1:1", "e1,e2"}, {"127.0.0.1:1,", "e1,e2"}} {
		_, err := places(bad[0], bad[1])
		require.Error(t, err, bad)
	}
}
