package once

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Times after which a new try is worth it. The spread keeps callers that were refused
// together from coming back together.
const (
	retryTable   = time.Second
	retryPending = time.Second
)

func spread(d time.Duration) time.Duration { return d + rand.N(d) }

func refuseBusy() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeOverloaded,
		"too many calls wait to be recorded").WithRetryAfter(spread(retryTable))
}

func refuseTableDown(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeTableDown,
		"the idempotency key can't be recorded now").WithRetryAfter(spread(retryTable))
}

func refuseCanceled(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, 499, verdict.CodeCanceled, "the caller went away or its deadline passed")
}

func refuseDraining() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeDraining,
		"this router is leaving").WithRetryAfter(spread(retryTable))
}

func refuseReused() error {
	return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, verdict.CodeDuplicate,
		"idempotency key reused with another content")
}

func refusePending() error {
	return verdict.New(verdict.MayHaveRun, http.StatusConflict, verdict.CodeDuplicate,
		"a call with this idempotency key is under way or was cut off").WithRetryAfter(spread(retryPending))
}

func refuseUnsettled() error {
	return verdict.New(verdict.MayHaveRun, http.StatusConflict, verdict.CodeDuplicate,
		"a call with this idempotency key may have run; its end is unknown")
}

func refuseRan() error {
	return verdict.New(verdict.Ran, http.StatusConflict, verdict.CodeDuplicate,
		"a call with this idempotency key ran; its answer wasn't stored")
}
