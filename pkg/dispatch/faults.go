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

// Errors of an attempt. Their texts are sent to callers in error responses.
const (
	errConnBroken = errors.ConstError("the connection to the upstream broke")
	errTimeout    = errors.ConstError("the upstream sent nothing for too long")
	errMalformed  = errors.ConstError("the upstream's answer can't be understood")
	errWrongID    = errors.ConstError("the answer belongs to another attempt")
	errTooLarge   = errors.ConstError("the upstream's answer is too large")
	errCallerGone = errors.ConstError("the caller went away")
	errStreamLost = errors.ConstError("the upstream lost the stream")
	errRefused    = errors.ConstError("the upstream refused the request")
	errNoMemory   = errors.ConstError("the router has no memory left for the answer")
)

// classifyError returns why a read or a round trip failed: the caller left, the attempt timed out,
// the connection broke, or the response isn't HTTP. connEnded says that the connection ended before
// a response's header was complete.
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

// closedIdleText is the text of an error that net/http doesn't export: the upstream closed a pooled
// connection while a request was sent on it.
const closedIdleText = "server closed idle connection"

// isConnError reports whether the connection failed, rather than the data on it. An upstream that
// sends malformed HTTP is alive; one whose connection breaks may have crashed.
func isConnError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), closedIdleText)
}

// crashed reports whether the upstream may have crashed or restarted during the request.
func crashed(err error) bool { return errors.Is(err, errConnBroken) || errors.Is(err, errStreamLost) }

func outcomeOf(err error) wire.Outcome {
	switch {
	case errors.Is(err, errCallerGone), errors.Is(err, errNoMemory): // not the upstream's fault
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
	if errors.Is(err, errNoMemory) {
		return verdict.Wrap(err, v, http.StatusBadGateway, verdict.CodeInternal, errNoMemory.Error())
	}
	for _, known := range []errors.ConstError{errWrongID, errMalformed, errTooLarge, errStreamLost} {
		if errors.Is(err, known) {
			return verdict.Wrap(err, v, http.StatusBadGateway, verdict.CodeUpstreamFailed, known.Error())
		}
	}
	return verdict.Wrap(err, v, http.StatusBadGateway, verdict.CodeUpstreamFailed, errConnBroken.Error())
}
