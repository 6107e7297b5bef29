package peer

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// streamHeader is the size of a stream's header: the sender's epoch, in bytes.
const streamHeader = 8

// conn is one QUIC connection with one stream in each direction.
type conn struct {
	quic *quic.Conn
	peer wire.RouterID
	side side
	// epoch is the peer's process, 0 until its stream's header came.
	epoch atomic.Uint64

	mu     sync.Mutex // held for one write
	stream *quic.SendStream
}

// newConn opens this side's stream and sends its header.
func newConn(q *quic.Conn, s side, epoch uint64) (*conn, error) {
	stream, err := q.OpenUniStream()
	if err != nil {
		return nil, errors.Annotate(err, "open stream")
	}
	if _, err := stream.Write(binary.BigEndian.AppendUint64(nil, epoch)); err != nil {
		return nil, errors.Annotate(err, "write stream header")
	}
	return &conn{quic: q, peer: peerIdentity(q.ConnectionState().TLS), side: s, stream: stream}, nil
}

// write sends the bytes of one frame.
//
// Guard: a paused peer stops opening its flow control window, and the write blocks.
// The deadline turns that into an error for this connection; other peers have their
// own writers and don't wait.
func (c *conn) write(frame []byte, limit time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.stream.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return errors.Trace(err)
	}
	_, err := c.stream.Write(frame)
	return errors.Trace(err)
}

// readHeader accepts the peer's stream and reads its epoch.
func (c *conn) readHeader(ctx context.Context) (*frameReader, error) {
	stream, err := c.quic.AcceptUniStream(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "accept stream")
	}
	reader := newFrameReader(stream)
	var header [streamHeader]byte
	if _, err := io.ReadFull(reader.r, header[:]); err != nil {
		return nil, errors.Annotate(err, "read stream header")
	}
	c.epoch.Store(binary.BigEndian.Uint64(header[:]))
	return reader, nil
}

func (c *conn) alive() bool { return c.quic.Context().Err() == nil }

func (c *conn) close(code quic.ApplicationErrorCode, why string) {
	// The error only says that the connection was closed before.
	_ = c.quic.CloseWithError(code, why)
}

// finish ends this side's stream: the peer reads what is on its way and closes.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.stream.Close()
}
