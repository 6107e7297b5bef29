package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Numbers of units are written in few bytes, but never rounded: a counter that loses a
// fraction at each report would drift apart between router and keeper.
func TestFramesKeepUnitsExactly(t *testing.T) {
	for _, units := range []Units{0, 246, 2049, 1 << 24, 1<<24 + 1, 0.1, 1.0 / 3, 1e300} {
		sent := &Frame{Reports: []Report{{
			Cell: "chat/0", Seq: 3, Base: 1 << 30, Progress: []Progress{{Offset: 5, Cost: units}, {Cost: 1}},
			Orgs: []OrgCounter{{Org: "acme", Elsewhere: units}},
		}}}
		b, err := Encode(sent)
		require.NoError(t, err)
		got, err := Decode(b)
		require.NoError(t, err)
		require.Equal(t, sent, got)
	}
}

func TestKnownSlotsTakeFewBytes(t *testing.T) {
	size := func(n int) int {
		r := Report{Cell: "chat/0", Base: 1 << 30}
		for i := range n {
			r.Progress = append(r.Progress, Progress{Offset: uint64(i), Cost: 246})
		}
		b, err := Encode(&Frame{Reports: []Report{r}})
		require.NoError(t, err)
		return len(b)
	}
	require.LessOrEqual(t, size(201)-size(101), 700)
}
