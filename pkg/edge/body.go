package edge

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/connlimit"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// readBody reads a body within its bounds of size and time, and gives the function
// that frees its share of memory.
func (e *Edge) readBody(w http.ResponseWriter, r *http.Request, org string) ([]byte, func(), *verdict.Error) {
	size, limits := r.ContentLength, e.limits.Load()
	if size == 0 {
		connlimit.FromContext(r.Context()).RequestRead()
		return nil, func() {}, nil
	}
	if size > limits.MaxBody {
		return nil, nil, tooLarge(limits.MaxBody)
	}
	if size < 0 {
		size = limits.MaxBody
	}
	free, err := e.bodies.take(org, size)
	if err != nil {
		return nil, nil, err
	}
	body, err := limits.readTimed(w, r)
	if err != nil {
		free()
		return nil, nil, err
	}
	connlimit.FromContext(r.Context()).RequestRead()
	keepAlive(w)
	return body, free, nil
}

// readTimed guards against a sender that holds a place by sending a byte now and then:
// the whole body must come within BodyTimeout. The deadline is taken back afterwards,
// since the same connection is watched for the caller's going away.
func (l *Limits) readTimed(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	body, err := readSized(r, l.MaxBody)
	if err != nil {
		return nil, bodyError(err)
	}
	if int64(len(body)) > l.MaxBody {
		return nil, tooLarge(l.MaxBody)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func readSized(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	if err == nil {
		// net/http notices that the caller goes away only after the body's end was read.
		_, err = io.Copy(io.Discard, r.Body)
	}
	return body, err
}

func bodyError(err error) *verdict.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return verdict.Wrap(err, verdict.NotRun, http.StatusRequestTimeout, verdict.CodeBadRequest, "the body came too slowly")
	}
	return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, verdict.CodeBadRequest, "the body can't be read")
}

func tooLarge(limit int64) *verdict.Error {
	message := "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"
	return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, message)
}
