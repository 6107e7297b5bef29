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
	errBroken  = errors.ConstError("the connection to the upstream broke")
	errHang    = errors.ConstError("the upstream sent nothing for too long")
	errGarbage = errors.ConstError("the upstream's answer can't be understood")
	errWrongID = errors.ConstError("the answer belongs to another attempt")
	errTooMuch = errors.ConstError("the upstream's answer is too large")
	errCaller  = errors.ConstError("the caller went away")
	errLost    = errors.ConstError("the upstream lost the stream")
	errRefused = errors.ConstError("the upstream refused the request")
)

// broke tells why a read or a round trip failed: the caller, our own timer, the
// connection, or an answer that isn't HTTP. ended says that the connection is known to
// have ended before an answer's head was complete.
func broke(caller, own context.Context, err error, ended bool) error {
	switch {
	case caller.Err() != nil:
		return errCaller
	case errors.Is(context.Cause(own), errHang):
		return errHang
	case ended || lost(err):
		return errors.WithType(err, errBroken)
	default:
		return errors.WithType(err, errGarbage)
	}
}

// closedIdle is the text of net/http's error, which it doesn't export, for a kept-alive
// connection that the upstream closed under a request.
const closedIdle = "server closed idle connection"

// lost reports whether err is of the connection and not of what came over it. An
// upstream that sends malformed HTTP lives; one whose connection breaks may be dead.
func lost(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), closedIdle)
}

// died reports whether the upstream may be dead, or was restarted under the request.
func died(err error) bool { return errors.Is(err, errBroken) || errors.Is(err, errLost) }

func outcomeOf(err error) wire.Outcome {
	switch {
	case errors.Is(err, errCaller):
		return wire.OutcomeCanceled
	case died(err):
		return wire.OutcomeDied
	default:
		return wire.OutcomeFailed
	}
}

func errorOf(err error, v verdict.Verdict) *verdict.Error {
	switch {
	case errors.Is(err, errCaller):
		return verdict.Wrap(err, v, 499, verdict.CodeCanceled, errCaller.Error())
	case errors.Is(err, errHang):
		return verdict.Wrap(err, v, http.StatusGatewayTimeout, verdict.CodeUpstreamFailed, errHang.Error())
	}
	for _, known := range []errors.ConstError{errWrongID, errGarbage, errTooMuch, errLost} {
		if errors.Is(err, known) {
			return verdict.Wrap(err, v, http.StatusBadGateway, verdict.CodeUpstreamFailed, known.Error())
		}
	}
	return verdict.Wrap(err, v, http.StatusBadGateway, verdict.CodeUpstreamFailed, errBroken.Error())
}
