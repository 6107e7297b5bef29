package claimant

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// statusClientClosed is the customary status for a client that closed the connection.
const statusClientClosed = 499

// Every error of this package is NotRun: no byte of a request leaves the router
// before its slot's Start.

func overloaded(retry time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, verdict.CodeOverloaded,
		"too many requests of this organisation wait").WithRetryAfter(retry)
}

func deadlinePassed(retry time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusGatewayTimeout, verdict.CodeDeadline,
		"no slot became free within the deadline").WithRetryAfter(retry)
}

// contextEnded distinguishes a context's own deadline from a caller that went away.
func contextEnded(ctx context.Context, retry time.Duration) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlinePassed(retry)
	}
	return verdict.Wrap(ctx.Err(), verdict.NotRun, statusClientClosed, verdict.CodeCanceled,
		"the caller went away").WithRetryAfter(retry)
}

func noUpstream(retry time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeNoUpstream,
		"no usable upstream").WithRetryAfter(retry)
}

func quarantined() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, verdict.CodeQuarantined,
		"requests with this content crashed upstreams")
}

func draining(entries []string) *verdict.Error {
	e := verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeDraining,
		"this router is leaving").WithRetryAfter(minRetry)
	e.Entries = entries
	return e
}

// fromRefusal converts a keeper's refusal into the caller's error.
func fromRefusal(r wire.Refusal) *verdict.Error {
	retry := time.Duration(r.RetryMs) * time.Millisecond
	if retry == 0 {
		retry = unknownRetry
	}
	switch r.Reason {
	case wire.RefusedQuarantine:
		return quarantined()
	case wire.RefusedNoUpstream:
		return noUpstream(retry)
	default:
		return overloaded(retry)
	}
}
