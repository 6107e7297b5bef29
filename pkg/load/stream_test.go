package load

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/standin/engine"
)

func readJSON(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }

// brokenReader gives its text and then the error of a broken connection.
type brokenReader struct{ io.Reader }

func (b brokenReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestStreamChecks(t *testing.T) {
	whole := eventsOf("m1", 4)
	for name, c := range map[string]struct {
		body io.Reader
		want Outcome
	}{
		"whole":                    {strings.NewReader(whole), Whole},
		"ends cleanly too early":   {strings.NewReader(whole[:len(whole)/2]), Cut},
		"broken off":               {brokenReader{strings.NewReader(whole[:len(whole)/2])}, Broken},
		"another request's answer": {strings.NewReader(eventsOf("m2", 4)), Cut},
		"too short":                {strings.NewReader(eventsOf("m1", 3)), Cut},
		"too long":                 {strings.NewReader(eventsOf("m1", 5)), Cut},
		"an event twice":           {strings.NewReader(strings.Replace(whole, "id: 1\n", "id: 0\n", 1)), Cut},
		"a token missing":          {strings.NewReader(strings.Replace(whole, `"2 "`, `"3 "`, 1)), Cut},
		"garbage":                  {strings.NewReader("data: {not JSON\n\n"), Cut},
		"error inside":             {strings.NewReader("data: {\"error\":{}}\n\ndata: [DONE]\n\n"), Cut},
	} {
		res := Result{Request: Request{Marker: "m1", Tokens: 4}}
		NewCaller("m", "s", patience).readStream(&res, c.body)
		require.Equal(t, c.want, res.Outcome, "%s: %s", name, res.Fault)
	}
}

func TestCallerGetsWholeAnswersFromTheStandInEngine(t *testing.T) {
	e := engine.New(engine.Options{Name: "e1", Slots: 4})
	go e.Run(t.Context())
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	caller := NewCaller("m", "s", patience)
	defer caller.Close()
	tokens := 0
	caller.OnToken = func(_ *Request, n int) { tokens += n }
	for _, form := range []Form{Streamed, Plain} {
		q := Request{Marker: "marker-" + string(form), Form: form, Tokens: 9, Entry: server.Listener.Addr().String()}
		res := caller.Do(t.Context(), q)
		require.Equal(t, Whole, res.Outcome, res.Fault)
		require.Equal(t, 9, res.Got)
	}
	require.Equal(t, 18, tokens)
}

func TestRefusalNeedsTheSameVerdictInHeaderAndBody(t *testing.T) {
	for name, c := range map[string]struct {
		header, body string
		want         Outcome
	}{
		"agree":    {"not-run", `{"error":{"verdict":"not-run","code":"overloaded"}}`, Refused},
		"disagree": {"may-have-run", `{"error":{"verdict":"not-run"}}`, Cut},
		"none":     {"not-run", `bad gateway`, Cut},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Flamingowind-Verdict", c.header)
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, c.body)
		}))
		caller := NewCaller("m", "s", patience)
		res := caller.Do(t.Context(), Request{Marker: "m", Form: Streamed, Entry: server.Listener.Addr().String()})
		caller.Close()
		server.Close()
		require.Equal(t, c.want, res.Outcome, name)
	}
}
