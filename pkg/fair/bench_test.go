package fair

import (
	"fmt"
	"testing"
)

// BenchmarkMerge merges one router's counters of all organisations.
func BenchmarkMerge(b *testing.B) {
	for _, orgs := range []int{16, 71, 710} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			o := New[int]()
			names := make([]string, orgs)
			for i := range names {
				names[i] = fmt.Sprintf("org-%03d", i)
				o.Push(&Entry[int]{Org: names[i]})
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				for i, org := range names {
					o.Merge(org, float64(n+i%7))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(orgs), "ns/counter")
		})
	}
}
