package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEntryLogReturnsEntriesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l entryLog[CachedPrefix]
		seq, next, lastKey := uint64(0), uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			list := make([]CachedPrefix, rapid.IntRange(0, 300).Draw(t, "added"))
			for i := range list {
				next++
				list[i].Key = next
			}
			l.add(list)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			got, last := l.after(seq)
			for _, r := range got {
				if r.Key <= lastKey {
					t.Fatalf("entry %d follows entry %d", r.Key, lastKey)
				}
				lastKey = r.Key
			}
			seq = last
		}
		for {
			got, last := l.after(seq)
			if len(got) == 0 {
				break
			}
			lastKey, seq = got[len(got)-1].Key, last
		}
		if next > 0 && lastKey != next {
			t.Fatalf("the last entry is %d, want %d", lastKey, next)
		}
	})
}

func TestEntryLogDropsTheOldest(t *testing.T) {
	var l entryLog[CachedPrefix]
	l.add(make([]CachedPrefix, logSize+10))
	got, last := l.after(0)
	require.Len(t, got, maxEntries)
	require.EqualValues(t, 10+maxEntries, last)
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(Report{From: Member{Name: "a"}, Prefixes: []CachedPrefix{{Key: 1, Instance: "i", Life: 7}},
		Loads: []InstanceLoad{{Instance: "i", Life: 8, Running: 1}}}, secret)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r Report
		_ = decode(append(computeMAC(data, secret), data...), secret, &r)
	})
}
