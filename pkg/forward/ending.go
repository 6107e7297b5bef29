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
	EndedByHead   Ending = "head"
	EndedByLength Ending = "length"
	EndedByChunk  Ending = "last_chunk"
	// EndedByClose: the upstream closed the connection, which marks the end of this response.
	EndedByClose Ending = "close"
	// EndedUnconfirmed: as EndedByClose, but the upstream accepts no new connection afterwards.
	EndedUnconfirmed Ending = "close_unconfirmed"
	// EndedShort: the upstream closed the connection before the declared length or the last chunk.
	EndedShort   Ending = "closed_early"
	EndedByReset Ending = "reset"
	// EndedBySilence: the connection timed out.
	EndedBySilence Ending = "silence"
	// EndedHere: this router canceled the call because the caller left, the deadline passed or the
	// upstream was restarted.
	EndedHere Ending = "aborted"
	// EndedBadly: the framing is malformed.
	EndedBadly Ending = "malformed"
)

// endingOf returns the ending that a read error of the body stands for. aborted says that this
// router canceled the call.
func endingOf(framing Framing, err error, aborted bool) Ending {
	var netErr net.Error
	switch {
	case aborted, errors.Is(err, ErrAborted), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return EndedHere
	case errors.Is(err, io.EOF):
		return completeEnding(framing)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return EndedShort
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndedByReset
	case errors.As(err, &netErr) && netErr.Timeout():
		return EndedBySilence
	}
	return EndedBadly
}

// completeEnding returns the ending of a complete response.
func completeEnding(framing Framing) Ending {
	switch framing {
	case FramedByLength:
		return EndedByLength
	case FramedByChunks:
		return EndedByChunk
	case FramedByClose:
		return EndedByClose
	}
	return EndedByHead
}
