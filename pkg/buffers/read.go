package buffers

import (
	"io"
	"math/bits"
	"sync"
)

// Sizes of the buffers that Read uses, in bytes.
const (
	// minBuffer is that of the first one.
	minBuffer = 512
	// minReused is the least size of those that are used again once a larger one has taken their place. Left to the collector,
	// the buffers that many bodies outgrow take as much memory as the bodies.
	minReused = 64 << 10
)

// Extent tells how much of its source Read has read.
type Extent int

const (
	// Whole: the source has ended.
	Whole Extent = iota
	// TooLarge: the source has more bytes than the limit.
	TooLarge
	// NoRoom: the budget has no room for more bytes.
	NoRoom
)

// Read reads until from ends, has more than limit bytes, or the budget has no room for its bytes beside the
// held ones. The lease holds the bytes until it is changed; after an error it holds the held ones.
func (l *Lease) Read(from io.Reader, limit int, held int64) (data []byte, extent Extent, err error) {
	data = make([]byte, 0, min(minBuffer, limit+1))
	for {
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF { // a wrapped one doesn't mark the end of a source
			if len(data) > limit {
				return data, TooLarge, nil
			}
			return data, Whole, nil
		}
		if err != nil {
			l.Hold(held)
			reuse(data)
			return nil, NoRoom, err
		}
		if len(data) < cap(data) {
			continue
		}
		if len(data) > limit {
			return data, TooLarge, nil
		}
		grown := min(2*cap(data), limit+1)
		copying := int64(grown)
		if grown > FreeBytes {
			copying += int64(cap(data)) // both buffers are in memory while the bytes are copied
		}
		if !l.Hold(held + copying) {
			return data, NoRoom, nil
		}
		old := data
		data = append(buffer(grown), old...)
		reuse(old)
		l.Hold(held + int64(grown))
	}
}

// unused holds buffers by the power of two that is their size.
var unused [bits.UintSize]sync.Pool

// buffer returns an empty buffer of size bytes.
func buffer(size int) []byte {
	if isReused(size) {
		if b, ok := unused[bits.TrailingZeros(uint(size))].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// reuse gives back a buffer that nobody reads any more.
func reuse(b []byte) {
	if size := cap(b); isReused(size) {
		unused[bits.TrailingZeros(uint(size))].Put(&b)
	}
}

func isReused(size int) bool { return size >= minReused && size&(size-1) == 0 }
