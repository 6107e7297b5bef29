package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Headers of callers' requests.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderClass    = "Flamingowind-Class"
	HeaderDeadline = "Flamingowind-Deadline"
	HeaderCostHint = "Flamingowind-Cost-Hint"
)

const (
	maxKey = 255 // characters of an Idempotency-Key
)

// options are a request's headers, checked.
type options struct {
	key      string
	class    wire.Class
	deadline time.Duration
}

func readOptions(h http.Header, l Limits) (options, *verdict.Error) {
	o := options{class: wire.ClassNormal, deadline: l.RequestTimeout}
	for _, read := range []func(http.Header, Limits) *verdict.Error{o.readKey, o.readClass, o.readDeadline, checkHint} {
		if err := read(h, l); err != nil {
			return options{}, err
		}
	}
	return o, nil
}

// single gives a header's only value, empty when it is missing. A repeated header is
// refused: two readers of one request could each take another value for the true one.
func single(h http.Header, name string) (string, *verdict.Error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", badRequest("the header " + name + " stands more than once")
}

func (o *options) readKey(h http.Header, _ Limits) *verdict.Error {
	v, err := single(h, HeaderKey)
	if err != nil {
		return err
	}
	if len(v) > maxKey {
		return badRequest(HeaderKey + " has more than 255 characters")
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] > '~' {
			return badRequest(HeaderKey + " must be printable ASCII without spaces")
		}
	}
	o.key = v
	return nil
}

func (o *options) readClass(h http.Header, _ Limits) *verdict.Error {
	v, err := single(h, HeaderClass)
	if err != nil {
		return err
	}
	switch v {
	case "", "normal":
		o.class = wire.ClassNormal
	case "urgent":
		o.class = wire.ClassUrgent
	case "batch":
		o.class = wire.ClassBatch
	default:
		return badRequest(HeaderClass + " must be urgent, normal or batch")
	}
	return nil
}

func (o *options) readDeadline(h http.Header, l Limits) *verdict.Error {
	v, err := single(h, HeaderDeadline)
	if err != nil || v == "" {
		return err
	}
	d, parseErr := time.ParseDuration(v)
	if parseErr != nil || d <= 0 || d > l.MaxDeadline {
		return badRequest(HeaderDeadline + " must be a time from receipt such as 2s, at most " + l.MaxDeadline.String())
	}
	o.deadline = d
	return nil
}

// checkHint refuses a malformed cost hint. A sound one is not used: what a request is
// expected to take must not depend on what its caller says, see pkg/keeper.
func checkHint(h http.Header, _ Limits) *verdict.Error {
	v, err := single(h, HeaderCostHint)
	if err != nil || v == "" {
		return err
	}
	if _, parseErr := strconv.ParseUint(v, 10, 64); parseErr != nil {
		return badRequest(HeaderCostHint + " must be a whole number of tokens")
	}
	return nil
}

func badRequest(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, verdict.CodeBadRequest, message)
}
