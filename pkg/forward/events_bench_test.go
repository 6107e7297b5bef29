package forward

import (
	"fmt"
	"testing"
)

// BenchmarkEvents splits a stream whose events arrive one by one.
func BenchmarkEvents(b *testing.B) {
	for _, size := range []int{8, 60, 600} {
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			data := make([][]byte, 512)
			for i := range data {
				data[i] = fmt.Appendf(nil, "id: %d\ndata: %0*d\n\n", i+1, size, i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%len(data) == 0 {
					events = new(EventSplitter)
				}
				events.Push(data[i%len(data)])
			}
		})
	}
}

var events *EventSplitter
