package dispatch

import (
	"context"
	"net/http"

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

// broke tells why a read or a round trip failed: the caller, our own timer, or the connection.
func broke(caller, own context.Context, err error) error {
	switch {
	case caller.Err() != nil:
		return errCaller
	case errors.Is(context.Cause(own), errHang):
		return errHang
	default:
		return errors.WithType(err, errBroken)
	}
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
