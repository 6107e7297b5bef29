package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestReadLogGivesEachEntryInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l readLog
		have, next, want := uint64(0), uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			list := make([]PromptRead, rapid.IntRange(0, 300).Draw(t, "added"))
			for i := range list {
				next++
				list[i].Key = next
			}
			l.add(list)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			got, last := l.after(have)
			for _, r := range got {
				if r.Key <= want {
					t.Fatalf("entry %d comes after %d", r.Key, want)
				}
				want = r.Key
			}
			have = last
		}
		for {
			got, last := l.after(have)
			if len(got) == 0 {
				break
			}
			want, have = got[len(got)-1].Key, last
		}
		if next > 0 && want != next {
			t.Fatalf("the last entry is %d, not %d", want, next)
		}
	})
}

func TestReadLogForgetsTheOldest(t *testing.T) {
	var l readLog
	l.add(make([]PromptRead, readLogSize+10))
	got, last := l.after(0)
	require.Len(t, got, maxReads)
	require.EqualValues(t, 10+maxReads, last)
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(Report{From: Member{Name: "a"}, Read: []PromptRead{{Key: 1, Instance: "i", Life: 7}},
		Loads: []InstanceLoad{{Instance: "i", Life: 8, Running: 1}}}, secret)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r Report
		_ = decode(append(seal(data, secret), data...), secret, &r)
	})
}
