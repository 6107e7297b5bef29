package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// versionOf gives a configuration with one key.
func versionOf(version int64, key string) *routing.Config {
	return &routing.Config{Version: version, Routes: []routing.Route{{Name: "r", Targets: []routing.Target{{Service: "s", Weight: 1}}}},
		Organisations: []routing.Organisation{{Name: "org", Keys: []string{key}}}}
}

func TestADocumentComesAsTheDifferenceFromWhatItsReaderHas(t *testing.T) {
	var giver, reader documents
	old, err := giver.of(versionOf(3, "old"))
	require.NoError(t, err)
	_, err = reader.of(versionOf(3, "old"))
	require.NoError(t, err)
	next := versionOf(4, "new")
	packed, base, err := giver.pack(next, 3, old.digest)
	require.NoError(t, err)
	require.EqualValues(t, 3, base)
	got, err := reader.unpack(packed, base)
	require.NoError(t, err)
	require.Equal(t, next, got)
	theirs, err := reader.of(got)
	require.NoError(t, err)
	ours, err := giver.of(next)
	require.NoError(t, err)
	require.Equal(t, ours.digest, theirs.digest, "the reader may give it on")
}

// Guards against a reader that has other content under the version, or one that is no longer kept.
func TestADocumentComesWholeWhereItsReaderHasAnother(t *testing.T) {
	for name, has := range map[string]struct {
		version int64
		digest  uint64
	}{"another digest": {3, 1}, "an old version": {1, 1}, "nothing": {0, 0}} {
		var giver, reader documents
		_, err := giver.of(versionOf(3, "old"))
		require.NoError(t, err)
		packed, base, err := giver.pack(versionOf(4, "new"), has.version, has.digest)
		require.NoError(t, err)
		require.Zero(t, base, name)
		got, err := reader.unpack(packed, base)
		require.NoError(t, err)
		require.Equal(t, versionOf(4, "new"), got, name)
	}
}

// Guards against memory that grows with each version.
func TestFewDocumentsAreKept(t *testing.T) {
	var d documents
	for v := int64(1); v <= 3*keptDocuments; v++ {
		_, err := d.of(versionOf(v, "key"))
		require.NoError(t, err)
	}
	require.Len(t, d.kept, keptDocuments)
	require.EqualValues(t, 3*keptDocuments, d.kept[keptDocuments-1].version)
	_, err := d.unpack(nil, 1)
	require.Error(t, err, "its base is forgotten")
}

// Guards against routers of an upgraded part of a fleet that give the others nothing.
func TestRoutersThatDontReadPackedAnswersAreGivenPlainOnes(t *testing.T) {
	giver, reader := newLifeWorld(), newLifeWorld()
	giver.catalog.Adopt(versionOf(4, "new"), "store")
	giver.catalog.Replace([]upstream.Instance{instanceBorn(1)}, 9, time.Now(), "store")
	for _, packed := range []bool{false, true} {
		given := giver.telling.Catalog(fleet.CatalogRequest{Packed: packed})
		require.Equal(t, !packed, given.PlainConfig != nil)
		require.Equal(t, packed, given.Config != nil)
		reader.telling.ApplyUpdate(fleet.Member{Name: "giver"}, &given, time.Now())
		require.EqualValues(t, 4, reader.catalog.Version())
		require.NotNil(t, reader.present())
		reader = newLifeWorld()
	}
}

// Guards against a hub that packs the same list anew for each of its members, and against one that goes on to
// give an older one.
func TestAListIsPackedOnceForAllWhoLackIt(t *testing.T) {
	w := newLifeWorld()
	ask := fleet.CatalogRequest{Packed: true}
	w.catalog.Replace([]upstream.Instance{instanceBorn(1)}, 9, time.Now(), "store")
	first := w.telling.Catalog(ask)
	w.catalog.Apply(nil, 9, 12, time.Now(), "store")
	again := w.telling.Catalog(ask)
	require.EqualValues(t, 12, again.Revision)
	require.Same(t, &first.Instances[0], &again.Instances[0])
	w.catalog.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "i"}, Gone: true}}, 12, 15, time.Now(), "store")
	list, err := unpackList(w.telling.Catalog(ask).Instances)
	require.NoError(t, err)
	require.Empty(t, list)
}
