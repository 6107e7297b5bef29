package failtest

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Refusal is an error answer as a client library sees it.
type Refusal struct {
	Status int
	// RetryAfter and Header are the headers Retry-After and Flamingowind-Verdict.
	RetryAfter, Header string
	Error              struct {
		Code    verdict.Code `json:"code"`
		Verdict string       `json:"verdict"`
		Entries []string     `json:"entries"`
	} `json:"error"`
}

// Ask sends a small completion to router on a connection of its own. Without an
// answer, because the router doesn't listen any more, ok is false.
func (w *World) Ask(org, router int) (r Refusal, ok bool) {
	w.t.Helper()
	body := strings.NewReader(`{"model":"` + w.Ready.Model + `","prompt":"one word","max_tokens":1}`)
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+w.Entry(router)+"/v1/completions", body)
	w.must(err)
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+w.Ready.Organisations[org].Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, false
	}
	defer resp.Body.Close()
	r.Status, r.RetryAfter, r.Header = resp.StatusCode, resp.Header.Get("Retry-After"), resp.Header.Get(verdict.Header)
	w.must(json.NewDecoder(resp.Body).Decode(&r))
	return r, true
}
