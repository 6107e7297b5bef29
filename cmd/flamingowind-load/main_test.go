package main

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadyLineIsReadWhileTheFleetRuns(t *testing.T) {
	r, w := io.Pipe()
	defer w.Close()
	go func() { _, _ = io.WriteString(w, "READY {\"routers\":[{\"id\":\"router-01\"}]}\n") }()
	ready, err := parseReady(r)
	require.NoError(t, err)
	require.Equal(t, "router-01", ready.Routers[0].ID)

	for _, bad := range []string{"", "READY {}", "READY {\"routers\":", "nonsense"} {
		_, err := parseReady(strings.NewReader(bad))
		require.Error(t, err, bad)
	}
}
