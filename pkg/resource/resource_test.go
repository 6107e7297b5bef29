package resource_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

func meta(name string) resource.Meta { return resource.Meta{Name: name} }

func fleet(upstreams, cellSize int) *resource.Snapshot {
	s := &resource.Snapshot{Version: 1, Pools: []resource.Pool{{Meta: meta("p"), Kind: resource.PoolModel, CellSize: cellSize}}}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, resource.Upstream{
			Meta: meta(fmt.Sprintf("engine-%04d", i)), Pool: "p", Zone: "a",
			URL: fmt.Sprintf("http://10.0.%d.%d:9000", i/200, i%200+1),
		})
	}
	return s
}

func TestValidateReportsEveryFaultAtOnce(t *testing.T) {
	hash := resource.KeyHash("k")
	s := &resource.Snapshot{
		Organisations: []resource.Organisation{
			{Meta: meta("a"), Weight: -1, KeyHashes: []string{hash}},
			{Meta: meta("b b"), KeyHashes: []string{hash, "short"}},
		},
		Pools:     []resource.Pool{{Meta: meta("p"), Kind: "x", GrantAhead: 17}, {Meta: meta("p"), Kind: resource.PoolModel}},
		Upstreams: []resource.Upstream{{Meta: meta("u"), Pool: "none", URL: "http://engine.example:9000", Slots: 8, MaxSlots: 2}},
		Routes:    []resource.Route{{Meta: meta("r"), Pool: "none", AtMostOnce: []string{"post"}}, {Meta: meta("q"), Model: "m", Pool: "p"}, {Meta: meta("z"), Model: "m", Pool: "p"}},
		Orders:    []resource.Order{{Meta: meta("o"), Upstream: "none"}},
	}
	var invalid *resource.Invalid
	require.ErrorAs(t, s.Validate(), &invalid)
	var got []string
	for _, f := range invalid.Fields {
		got = append(got, string(f.Kind)+"/"+f.Name+":"+f.Field)
	}
	require.Equal(t, []string{
		"Organisation/b b:name", "Pool/p:name",
		"Organisation/a:weight", "Organisation/b b:keyHashes", "Organisation/b b:keyHashes",
		"Pool/p:poolKind", "Pool/p:grantAhead", "Upstream/u:pool", "Upstream/u:url", "Upstream/u:maxSlots",
		"Route/r:pool", "Route/r:model", "Route/r:atMostOnce", "Route/z:model", "Order/o:upstream",
	}, got)
}

func TestCodecKeepsTheSnapshot(t *testing.T) {
	s := fleet(2100, 0)
	b, err := resource.Encode(s)
	require.NoError(t, err)
	t.Logf("2100 upstreams take %d bytes", len(b))
	back, err := resource.Decode(b)
	require.NoError(t, err)
	require.Equal(t, s, back)
}

// A peer or a damaged row sends a few kilobytes that inflate to a hundred megabytes.
// The router must refuse them; inflating them whole would end it on a 32 MB budget.
func TestDecodeBoundsInflation(t *testing.T) {
	enc, err := zstd.NewWriter(nil)
	require.NoError(t, err)
	bomb := enc.EncodeAll(make([]byte, 100<<20), nil)
	require.Less(t, len(bomb), resource.MaxEncoded)
	_, err = resource.Decode(bomb)
	require.ErrorIs(t, err, zstd.ErrDecoderSizeExceeded)
}

func TestApplyVersionsAndConflicts(t *testing.T) {
	s := &resource.Snapshot{Version: 4}
	one, err := s.Apply([]resource.Op{resource.PutOp(&resource.Organisation{Meta: meta("a"), Weight: 1})})
	require.NoError(t, err)
	require.EqualValues(t, 5, one.Version)
	require.EqualValues(t, 5, one.Organisations[0].Version)
	same, err := one.Apply([]resource.Op{resource.PutOp(&resource.Organisation{Meta: meta("a"), Weight: 1, KeyHashes: []string{}})})
	require.NoError(t, err)
	require.Same(t, one, same)
	zero := uint64(0)
	_, err = one.Apply([]resource.Op{{Ref: resource.RefOf(&one.Organisations[0]), Expect: &zero}})
	require.ErrorIs(t, err, resource.ErrStale)
	require.Equal(t, resource.ActionCreate, resource.Diff(s, one)[0].Action)
	require.Equal(t, resource.ActionDelete, resource.Diff(one, s)[0].Action)
}

func TestDocumentNamesUnknownFields(t *testing.T) {
	var d resource.Document
	require.NoError(t, json.Unmarshal([]byte(`{"kind":"Pool","name":"p","poolKind":"model"}`), &d))
	b, err := json.Marshal(d)
	require.NoError(t, err)
	require.JSONEq(t, `{"kind":"Pool","name":"p","poolKind":"model"}`, string(b))
	err = json.Unmarshal([]byte(`{"kind":"Pool","name":"p","sise":3}`), &d)
	var invalid *resource.Invalid
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "sise", invalid.Fields[0].Field)
}

// An operator declares an engine's slots and no maxSlots. The limit must be fixed then; one
// that adapts would idle slots whenever a noisy host makes the engine look slow.
func TestNoMaxSlotsFixesTheLimit(t *testing.T) {
	require.Zero(t, resource.NewIndex(fleet(1, 0)).Upstream("engine-0000").MaxSlots)
}

func cellsOf(s *resource.Snapshot) map[string]string {
	x := resource.NewIndex(s)
	where := make(map[string]string)
	for _, u := range s.Upstreams {
		where[u.Name] = string(x.CellOf(u.Name).ID)
	}
	return where
}

func TestCellsAreBoundedAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		s := fleet(rapid.IntRange(1, 200).Draw(t, "upstreams"), size)
		shuffled := *s
		shuffled.Upstreams = rapid.Permutation(s.Upstreams).Draw(t, "order")
		require.Equal(t, cellsOf(s), cellsOf(&shuffled))
		for _, c := range resource.NewIndex(s).Cells("p") {
			require.LessOrEqual(t, len(c.Upstreams), size)
		}
	})
}

// Operators add one engine to a pool of several cells. If most engines changed their
// cell, keepers would hand over the whole pool at once and order would break down.
func TestAddingAnUpstreamMovesFew(t *testing.T) {
	const size, low, high = 32, 100, 160
	moved := 0
	for n := low; n < high; n++ {
		before, after := cellsOf(fleet(n, size)), cellsOf(fleet(n+1, size))
		for name, cell := range before {
			if after[name] != cell {
				moved++
			}
		}
	}
	mean := float64(moved) / (high - low)
	t.Logf("adding one upstream moves %.2f others on average", mean)
	require.Less(t, mean, 4.0)
}

func TestIndexFillsDefaults(t *testing.T) {
	s := fleet(1, 0)
	s.Organisations = []resource.Organisation{{Meta: meta("o"), KeyHashes: []string{resource.KeyHash("secret")}}}
	s.Routes = []resource.Route{{Meta: meta("r"), Model: "m/7b", Pool: "p"}}
	require.NoError(t, s.Validate())
	x := resource.NewIndex(s)
	require.EqualValues(t, resource.DefaultWeight, x.ByKeyHash(resource.KeyHash("secret")).Weight)
	require.Equal(t, resource.DefaultSlots, x.Upstream("engine-0000").Slots)
	require.Equal(t, "p", x.Model("m/7b").Pool)
	require.Len(t, x.Cells("p"), 1)
	require.Nil(t, x.Service("none"))
	require.Zero(t, s.Organisations[0].Weight, "the snapshot itself stays as declared")
}
