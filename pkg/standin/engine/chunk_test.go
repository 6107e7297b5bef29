package engine

import "testing"

func BenchmarkChunk(b *testing.B) {
	c := newChunks(&attempt{id: "a1", model: "m", chat: true, total: maxAnswer})
	buf := make([]byte, 0, 1024)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		buf = c.append(buf[:0], n%maxAnswer)
	}
}
