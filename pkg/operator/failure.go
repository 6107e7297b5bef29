package operator

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Code names the kind of a failure.
type Code string

// Codes of failures.
const (
	CodeBadRequest   Code = "bad_request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not_found"
	CodeTooLarge     Code = "too_large"
	CodeInvalid      Code = "invalid"             // Fields says what
	CodeConflict     Code = "conflict"            // Current is the state that won
	CodeOpReused     Code = "operation_id_reused" // the ID belongs to another write
	CodeGone         Code = "gone"                // list again, then watch from there
	CodeNotAccepted  Code = "not_accepted"        // nothing was written
	CodeUndecided    Code = "undecided"           // send again with the same operation ID
	CodeOverloaded   Code = "overloaded"
	CodeInternal     Code = "internal"
)

// Failure is the body of every refusal, under "error".
type Failure struct {
	Status  int                   `json:"-"`
	Code    Code                  `json:"code"`
	Message string                `json:"message"`
	Fields  []resource.FieldError `json:"fields,omitempty"`
	// Version and Current are set for conflicts: the configuration's version, and the
	// resource as it is now (null when it doesn't exist).
	Version uint64             `json:"version,omitempty"`
	Current *resource.Document `json:"current,omitempty"`
	// OpID is to be sent again after CodeUndecided.
	OpID string `json:"opId,omitempty"`

	cause error
}

// Error gives the code and the message.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// Unwrap returns the cause, for logs; it isn't shown.
func (f *Failure) Unwrap() error { return f.cause }

// FailureBody is the JSON around a Failure.
type FailureBody struct {
	Error *Failure `json:"error"`
}

func failure(status int, code Code, message string) *Failure {
	return &Failure{Status: status, Code: code, Message: message}
}

// failureOf classifies err. What it doesn't know is internal and shows no detail.
func failureOf(err error) *Failure {
	var known *Failure
	var invalid *resource.Invalid
	var conflict *config.ConflictError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &invalid):
		f := failure(http.StatusUnprocessableEntity, CodeInvalid, "the resources have faults; nothing was written")
		f.Fields = invalid.Fields
		return f
	case errors.As(err, &conflict):
		return conflictFailure(conflict)
	case errors.As(err, &tooLarge):
		return failure(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is too large")
	case errors.Is(err, config.ErrOpReused):
		return failure(http.StatusConflict, CodeOpReused, err.Error())
	case errors.Is(err, config.ErrNotAccepted):
		return failure(http.StatusServiceUnavailable, CodeNotAccepted, err.Error())
	case errors.Is(err, config.ErrUndecided):
		return failure(http.StatusGatewayTimeout, CodeUndecided, err.Error())
	case errors.Is(err, config.ErrGone):
		return failure(http.StatusGone, CodeGone, err.Error())
	default:
		return failure(http.StatusInternalServerError, CodeInternal, "internal error")
	}
}

func conflictFailure(c *config.ConflictError) *Failure {
	f := failure(http.StatusConflict, CodeConflict, c.Error())
	f.Version = c.Version
	if c.Stale != nil {
		f.Current = &resource.Document{Resource: c.Stale.Current}
	}
	return f
}

// retrySeconds is the Retry-After of answers that are worth a new try.
const retrySeconds = "1"

func writeFailure(w http.ResponseWriter, f *Failure) {
	if f.Status == http.StatusServiceUnavailable || f.Status == http.StatusGatewayTimeout {
		w.Header().Set("Retry-After", retrySeconds)
	}
	writeJSON(w, f.Status, FailureBody{Error: f})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n')) // the operator went away; nothing is left to tell
}
