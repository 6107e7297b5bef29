package buffers

import (
	"io"

	"github.com/juju/errors"
)

// minBuffer is the size, in bytes, of the buffer that Read begins with.
const minBuffer = 512

// Read reads until from ends, has more than limit bytes, or the budget has no room for its bytes beside the
// held ones. whole is true only if from has ended. The lease holds the bytes until it is changed; after an
// error it holds the held ones.
func (l *Lease) Read(from io.Reader, limit int, held int64) (data []byte, whole bool, err error) {
	data = make([]byte, 0, min(minBuffer, limit+1))
	for {
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, len(data) <= limit, nil
		}
		if err != nil {
			l.Hold(held)
			return nil, false, err
		}
		if len(data) < cap(data) {
			continue
		}
		grown := min(2*cap(data), limit+1)
		if len(data) > limit || !l.Hold(held+int64(grown)) {
			return data, false, nil
		}
		data = append(make([]byte, 0, grown), data...)
	}
}
