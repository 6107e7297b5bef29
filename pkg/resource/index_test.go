package resource_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// An operator leaves maxSlots out, which fixes an engine's limit. Were a default put in
// its place, the limit would adapt: after a few slow answers the engine would run fewer
// requests than declared, and slots would idle while requests wait.
func TestLeftOutMaxSlotsStaysAFixedLimit(t *testing.T) {
	index := resource.NewIndex(&resource.Snapshot{
		Version:   1,
		Pools:     []resource.Pool{{Meta: meta("p"), Kind: resource.PoolModel}},
		Upstreams: []resource.Upstream{{Meta: meta("u"), Pool: "p", URL: "http://127.0.0.1:9000"}},
	})
	require.Equal(t, resource.DefaultSlots, index.Upstream("u").Slots)
	require.Zero(t, index.Upstream("u").MaxSlots)
}
