package failtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// getJSON reads a document from a stand-in or an operator API.
func (w *World) getJSON(url string, into any) {
	w.t.Helper()
	w.exchange(http.MethodGet, url, nil, into)
}

// putJSON sets a test switch of a stand-in.
func (w *World) putJSON(url string, body any) {
	w.t.Helper()
	w.exchange(http.MethodPut, url, body, nil)
}

// postJSON calls the operator API.
func (w *World) postJSON(url string, body any) {
	w.t.Helper()
	w.exchange(http.MethodPost, url, body, nil)
}

// exchange tries again while there is no answer: a crashed stand-in comes back. What
// it asks for may be asked twice.
func (w *World) exchange(method, url string, body, into any) {
	w.t.Helper()
	data, err := json.Marshal(body)
	w.must(err)
	w.Eventually("an answer of "+url, func() bool {
		answer, status, err := w.once(method, url, data)
		if err != nil {
			return false
		}
		if status/100 != 2 {
			w.t.Fatalf("%s %s: %d: %s", method, url, status, answer)
		}
		if into != nil {
			w.must(json.Unmarshal(answer, into))
		}
		return true
	})
}

func (w *World) once(method, url string, body []byte) (answer []byte, status int, err error) {
	req, err := http.NewRequestWithContext(w.ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+w.Ready.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return answer, resp.StatusCode, errors.Trace(err)
}
