package forward

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Ending is what ended the reading of a response's body.
type Ending string

// Endings of responses. The first three are those of complete responses.
const (
	EndedByHeader    Ending = "head"
	EndedByLength    Ending = "length"
	EndedByLastChunk Ending = "last_chunk"
	// EndedByClose: the upstream closed the connection, which marks the end of this response.
	EndedByClose Ending = "close"
	// EndedUnconfirmed: as EndedByClose, but the upstream accepts no new connection afterwards.
	EndedUnconfirmed Ending = "close_unconfirmed"
	// EndedEarly: the upstream closed the connection before the declared length or the last chunk.
	EndedEarly   Ending = "closed_early"
	EndedByReset Ending = "reset"
	// EndedByTimeout: the connection timed out.
	EndedByTimeout Ending = "silence"
	// EndedByAbort: this router canceled the call because the caller left, the deadline passed or the
	// upstream was restarted.
	EndedByAbort Ending = "aborted"
	// EndedMalformed: the framing is malformed.
	EndedMalformed Ending = "malformed"
)

// endingOf returns the ending that a read error of the body stands for. aborted says that this
// router canceled the call.
func endingOf(framing Framing, err error, aborted bool) Ending {
	var netErr net.Error
	switch {
	case aborted, errors.Is(err, ErrAborted), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return EndedByAbort
	case errors.Is(err, io.EOF):
		return completeEnding(framing)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return EndedEarly
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndedByReset
	case errors.As(err, &netErr) && netErr.Timeout():
		return EndedByTimeout
	}
	return EndedMalformed
}

// completeEnding returns the ending of a complete response.
func completeEnding(framing Framing) Ending {
	switch framing {
	case FramedByLength:
		return EndedByLength
	case FramedByChunks:
		return EndedByLastChunk
	case FramedByClose:
		return EndedByClose
	}
	return EndedByHeader
}
