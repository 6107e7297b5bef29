package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// keepBuffer is the largest read buffer that a connection keeps between frames, in
// bytes. Configuration frames are larger and rare; keeping theirs would cost
// megabytes for each peer.
const keepBuffer = 4 << 10

// errBadFrame: the peer sent bytes that are no frame.
const errBadFrame = errors.ConstError("bad frame")

// readBuffer is the size of a connection's buffered reader, in bytes.
const readBuffer = 256

// frameReader reads length-prefixed frames from a stream.
type frameReader struct {
	r   *bufio.Reader
	buf bytes.Buffer
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// next reads one frame. io.EOF means that the stream ended between two frames.
func (fr *frameReader) next() (*wire.Frame, error) {
	size, err := binary.ReadUvarint(fr.r)
	if err != nil {
		return nil, err
	}
	if size > wire.MaxFrame {
		return nil, errors.WithType(errors.Errorf("frame of %d bytes is over the limit of %d", size, wire.MaxFrame), errBadFrame)
	}
	if fr.buf.Cap() > keepBuffer {
		fr.buf = bytes.Buffer{}
	}
	fr.buf.Reset()
	// Guard: a peer may announce a large frame and send nothing. The buffer grows with
	// what arrives, so the announcement alone costs no memory.
	if _, err := io.CopyN(&fr.buf, fr.r, int64(size)); err != nil {
		return nil, errors.Annotate(noEOF(err), "read frame")
	}
	f, err := wire.Decode(fr.buf.Bytes())
	if err != nil {
		return nil, errors.WithType(err, errBadFrame)
	}
	return f, nil
}

// noEOF turns the end of a stream inside a frame into an error of its own.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendFrame appends the frame f with its length prefix to b.
func appendFrame(b []byte, f *wire.Frame) ([]byte, error) {
	body, err := wire.Encode(f)
	if err != nil {
		return b, err
	}
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...), nil
}
