package catalog

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an order of revisions that holds only within one era of the store.
func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eraA, eraB := rapid.Int64Range(1, MaxEra).Draw(t, "era a"), rapid.Int64Range(1, MaxEra).Draw(t, "era b")
		a, b := rapid.Int64Range(0, maxVersion).Draw(t, "a"), rapid.Int64Range(0, maxVersion).Draw(t, "b")
		one, other := NewRevision(eraA, a), NewRevision(eraB, b)
		require.Equal(t, eraA, one.Era())
		require.Equal(t, a, one.Version())
		require.Equal(t, eraA < eraB || eraA == eraB && a < b, one < other)
		require.Equal(t, eraA, one.Back(b).Era())
	})
}

// Guards against revisions that routers of a build without eras, or a store that names none, take for others.
func TestTheFirstErasRevisionsAreVersions(t *testing.T) {
	for _, era := range []int64{0, 1} {
		require.EqualValues(t, 77, NewRevision(era, 77))
	}
	require.Equal(t, Revision(1), Revision(5).Back(1000))
	require.EqualValues(t, MaxEra, NewRevision(math.MaxInt64, 0).Era())
}
