package buffers

import "io"

// minBuffer is the size, in bytes, of the buffer that Read begins with.
const minBuffer = 512

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
			return nil, NoRoom, err
		}
		if len(data) < cap(data) {
			continue
		}
		grown := min(2*cap(data), limit+1)
		if len(data) > limit {
			return data, TooLarge, nil
		}
		if !l.Hold(held + int64(grown)) {
			return data, NoRoom, nil
		}
		data = append(make([]byte, 0, grown), data...)
	}
}
