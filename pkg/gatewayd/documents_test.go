package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// configWithKey gives a configuration with one key.
func configWithKey(version int64, key string) *routing.Config {
	return &routing.Config{Version: version, Routes: []routing.Route{{Name: "r", Targets: []routing.Target{{Service: "s", Weight: 1}}}},
		Organisations: []routing.Organisation{{Name: "org", Keys: []string{key}}}}
}

func TestConfigurationIsSentAsDeltaFromTheReceiversVersion(t *testing.T) {
	var sender, receiver documents
	old, err := sender.get(configWithKey(3, "old"))
	require.NoError(t, err)
	_, err = receiver.get(configWithKey(3, "old"))
	require.NoError(t, err)
	next := configWithKey(4, "new")
	packed, base, err := sender.pack(next, 3, old.digest)
	require.NoError(t, err)
	require.EqualValues(t, 3, base)
	got, err := receiver.unpack(packed, base)
	require.NoError(t, err)
	require.Equal(t, next, got)
	theirs, err := receiver.get(got)
	require.NoError(t, err)
	ours, err := sender.get(next)
	require.NoError(t, err)
	require.Equal(t, ours.digest, theirs.digest, "the reader may give it on")
}

// Guards against a reader that has other content under the version, or one that is no longer kept.
func TestConfigurationIsSentWholeWithoutACommonBase(t *testing.T) {
	for name, has := range map[string]struct {
		version int64
		digest  uint64
	}{"another digest": {3, 1}, "an old version": {1, 1}, "nothing": {0, 0}} {
		var sender, receiver documents
		_, err := sender.get(configWithKey(3, "old"))
		require.NoError(t, err)
		packed, base, err := sender.pack(configWithKey(4, "new"), has.version, has.digest)
		require.NoError(t, err)
		require.Zero(t, base, name)
		got, err := receiver.unpack(packed, base)
		require.NoError(t, err)
		require.Equal(t, configWithKey(4, "new"), got, name)
	}
}

// Guards against memory that grows with each version.
func TestFewDocumentsAreKept(t *testing.T) {
	var d documents
	for v := int64(1); v <= 3*maxDocuments; v++ {
		_, err := d.get(configWithKey(v, "key"))
		require.NoError(t, err)
	}
	require.Len(t, d.versions, maxDocuments)
	require.EqualValues(t, 3*maxDocuments, d.versions[maxDocuments-1].version)
	_, err := d.unpack(nil, 1)
	require.Error(t, err, "its base is forgotten")
}

// Guards against routers of an upgraded part of a fleet that give the others nothing.
func TestRoutersThatDontReadPackedAnswersAreGivenPlainOnes(t *testing.T) {
	sender, receiver := newLifeModel(), newLifeModel()
	sender.catalog.Adopt(configWithKey(4, "new"), "store")
	sender.catalog.Replace([]upstream.Instance{instanceBorn(1)}, 9, time.Now(), "store")
	for _, packed := range []bool{false, true} {
		update := sender.local.Catalog(fleet.CatalogRequest{Packed: packed})
		require.Equal(t, !packed, update.PlainConfig != nil)
		require.Equal(t, packed, update.Config != nil)
		receiver.local.ApplyUpdate(fleet.Member{Name: "giver"}, &update, time.Now())
		require.EqualValues(t, 4, receiver.catalog.Version())
		require.NotNil(t, receiver.present())
		receiver = newLifeModel()
	}
}

// Guards against a hub that packs the same list anew for each of its members, and against one that goes on to
// give an older one.
func TestAListIsPackedOnceForAllWhoLackIt(t *testing.T) {
	m := newLifeModel()
	request := fleet.CatalogRequest{Packed: true}
	m.catalog.Replace([]upstream.Instance{instanceBorn(1)}, 9, time.Now(), "store")
	first := m.local.Catalog(request)
	m.catalog.Apply(nil, 9, 12, time.Now(), "store")
	again := m.local.Catalog(request)
	require.EqualValues(t, 12, again.Revision)
	require.Same(t, &first.Instances[0], &again.Instances[0])
	m.catalog.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "i"}, Gone: true}}, 12, 15, time.Now(), "store")
	list, err := unpackList(m.local.Catalog(request).Instances)
	require.NoError(t, err)
	require.Empty(t, list)
}
