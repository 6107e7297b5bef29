package failtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
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

func (w *World) exchange(method, url string, body, into any) {
	w.t.Helper()
	data, err := json.Marshal(body)
	w.must(err)
	req, err := http.NewRequestWithContext(w.ctx, method, url, bytes.NewReader(data))
	w.must(err)
	req.Header.Set("Authorization", "Bearer "+w.Ready.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	w.must(err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	w.must(err)
	if resp.StatusCode/100 != 2 {
		w.t.Fatalf("%s %s: %s: %s", method, url, resp.Status, answer)
	}
	if into != nil {
		w.must(json.Unmarshal(answer, into))
	}
}
