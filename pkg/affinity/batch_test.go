package affinity

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Guards against a row of another writer, or of another build, that is taken for records.
func TestOddBatchesAreTurnedDown(t *testing.T) {
	f := newFixture()
	version := VersionIDOf("s", "1")
	now := f.reading().Clock.Milliseconds()
	for name, b := range map[string]batch{
		"without a version":     {AsOfMs: now, Groups: []batchGroup{{Keys: make([]byte, keyBytes)}}},
		"with half a key":       {AsOfMs: now, Groups: []batchGroup{{Version: version, Keys: make([]byte, keyBytes+1)}}},
		"with too many records": {AsOfMs: now, Groups: []batchGroup{{Version: version, Keys: make([]byte, keyBytes*(MaxBatch+1))}}},
		"with too many groups":  {AsOfMs: now, Groups: make([]batchGroup, maxBatchGroups+1)},
		"of the future":         {AsOfMs: now + (2 * maxBatchAhead).Milliseconds()},
		"of before the clock":   {AsOfMs: -1},
	} {
		value, err := cbor.Marshal(b)
		require.NoError(t, err)
		n, err := f.MergeBatch(value, f.reading(), f.now)
		require.Error(t, err, name)
		require.Zero(t, n, name)
	}
	for _, value := range []string{"", "x", "[]", "{}", "\xa1\x01\x20", "\xff"} {
		_, err := f.MergeBatch([]byte(value), f.reading(), f.now)
		require.Error(t, err, "%q", value)
	}
	require.Zero(t, f.Records())
}

// Guards against rows that outgrow what the store takes.
func TestBatchOfTheLargestSizeIsSmall(t *testing.T) {
	f := newFixture()
	list := make([]Record, MaxBatch)
	for i := range list {
		list[i] = Record{Key: Key(i + 1), Version: VersionIDOf("s", "1")}
	}
	value, err := EncodeBatch(list, f.reading(), f.now)
	require.NoError(t, err)
	require.Less(t, len(value), 9*MaxBatch)
	n, err := f.MergeBatch(value, f.reading(), f.now.Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, MaxBatch, n)
	_, err = EncodeBatch(append(list, Record{Key: 1, Version: 1}), f.reading(), f.now)
	require.ErrorIs(t, err, errBatch)
}
