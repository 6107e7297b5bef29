package forward

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Ending is what ended the reading of an answer's body.
type Ending string

// Endings of answers. The first three are those of a complete one.
const (
	EndedByHead   Ending = "head"
	EndedByLength Ending = "length"
	EndedByChunk  Ending = "last_chunk"
	// EndedByClose: the upstream closed the connection of an answer that is framed by it.
	EndedByClose Ending = "close"
	// EndedUnconfirmed: the same, and the upstream takes no new connection since.
	EndedUnconfirmed Ending = "close_unconfirmed"
	// EndedShort: the upstream closed the connection before the length or the last chunk.
	EndedShort   Ending = "closed_early"
	EndedByReset Ending = "reset"
	// EndedBySilence: the connection timed out.
	EndedBySilence Ending = "silence"
	// EndedHere: this side ended the call, for its caller's close, its time or a new life of the upstream.
	EndedHere Ending = "aborted"
	// EndedBadly: the framing can't be read.
	EndedBadly Ending = "malformed"
)

// endingOf names what a read of the body gave; ours is whether the call had been ended here.
func endingOf(framing Framing, err error, ours bool) Ending {
	var timeout net.Error
	switch {
	case ours, errors.Is(err, ErrAborted), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return EndedHere
	case errors.Is(err, io.EOF):
		return orderly(framing)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return EndedShort
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndedByReset
	case errors.As(err, &timeout) && timeout.Timeout():
		return EndedBySilence
	}
	return EndedBadly
}

func orderly(framing Framing) Ending {
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
