package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Faults of an attempt.
const (
	errConnBroken = errors.ConstError("the connection to the upstream broke")
	errTimeout    = errors.ConstError("the upstream sent nothing for too long")
	errMalformed  = errors.ConstError("the upstream's answer can't be understood")
	errWrongID    = errors.ConstError("the answer belongs to another attempt")
	errTooLarge   = errors.ConstError("the upstream's answer is too large")
	errCallerGone = errors.ConstError("the caller went away")
	errStreamLost = errors.ConstError("the upstream lost the stream")
	errRefused    = errors.ConstError("the upstream refused the request")
)

// classifyError tells why a read or a round trip failed: the caller, our own timer, the
// connection, or an answer that isn't HTTP. ended says that the connection is known to
// have ended before an answer's head was complete.
func classifyError(caller, attempt context.Context, err error, connEnded bool) error {
	switch {
	case caller.Err() != nil:
		return errCallerGone
	case errors.Is(context.Cause(attempt), errTimeout):
		return errTimeout
	case connEnded || isConnError(err):
		return errors.WithType(err, errConnBroken)
	default:
		return errors.WithType(err, errMalformed)
	}
}

// closedIdleText is the text of net/http's error, which it doesn't export, for a kept-alive
// connection that the upstream closed under a request.
const closedIdleText = "server closed idle connection"

// isConnError reports whether err is of the connection and not of what came over it. An
// upstream that sends malformed HTTP lives; one whose connection breaks may be dead.
func isConnError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), closedIdleText)
}

// crashed reports whether the upstream may be dead, or was restarted under the request.
func crashed(err error) bool { return errors.Is(err, errConnBroken) || errors.Is(err, errStreamLost) }

func outcomeOf(err error) wire.Outcome {
	switch {
	case errors.Is(err, errCallerGone):
		return wire.OutcomeCanceled
	case crashed(err):
		return wire.OutcomeDied
	default:
		return wire.OutcomeFailed
	}
}

func errorOf(err error, v verdict.Verdict) *verdict.Error {
	switch {
	case errors.Is(err, errCallerGone):
		return verdict.Wrap(err, v, 499, verdict.CodeCanceled, errCallerGone.Error())
	case errors.Is(err, errTimeout):
		return verdict.Wrap(err, v, http.StatusGatewayTimeout, verdict.CodeUpstreamFailed, errTimeout.Error())
	}
	for _, known := range []errors.ConstError{errWrongID, errMalformed, errTooLarge, errStreamLost} {
		if errors.Is(err, known) {
			return verdict.Wrap(err, v, http.StatusBadGateway, verdict.CodeUpstreamFailed, known.Error())
		}
	}
	return verdict.Wrap(err, v, http.StatusBadGateway, verdict.CodeUpstreamFailed, errConnBroken.Error())
}
