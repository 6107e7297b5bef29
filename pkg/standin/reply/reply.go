// Package reply holds what the stand-ins' HTTP faces share: bounded JSON bodies and
// connections that are broken off on purpose.
package reply

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// MaxBody bounds a request's body, in bytes.
const MaxBody = 16 << 20

// JSON answers with v.
func JSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // a caller that went away is no fault here
}

// Error answers with a message in the shape of OpenAI's errors.
func Error(w http.ResponseWriter, status int, message string) {
	JSON(w, status, errorBody{Error: errorDetail{Message: message, Type: http.StatusText(status)}})
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// Body reads the whole body, up to MaxBody.
func Body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	return data, errors.Annotate(err, "read body")
}

// Decode reads the body as JSON into v. On a fault it answers 400 and reports false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := Body(w, r)
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	return accept(w, err)
}

// Checked is a value that knows its own faults.
type Checked interface{ Check() error }

// DecodeStrict is Decode for test switches: a field that doesn't exist or a value out
// of range would otherwise leave a test without the failure that it asked for.
func DecodeStrict(w http.ResponseWriter, r *http.Request, v Checked) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		err = v.Check()
	}
	return accept(w, err)
}

func accept(w http.ResponseWriter, err error) bool {
	if err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// BreakOff ends the handler and closes the connection without a whole answer.
func BreakOff() { panic(http.ErrAbortHandler) }
