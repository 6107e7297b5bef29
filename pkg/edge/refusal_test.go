package edge

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

const modelBody = `{"model":"m","prompt":"p"}`

// refusal reads a refusal and checks that header and body agree.
func refusal(t testing.TB, resp *http.Response) errorDetail {
	t.Helper()
	var body errorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	same(t, "verdict of header and body", body.Error.Verdict, resp.Header.Get(verdict.Header))
	return body.Error
}

func noUpstream(t testing.TB) http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the refused request reached an upstream") })
}

// A caller sends something that this router can't take. It must learn what is wrong,
// that nothing has run, and the router must go on serving on the same address.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	f := newFixture(t, noUpstream(t), func(c *Config) { c.Limits.MaxBody = 1000 })
	const completions = "/v1/completions"
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
	}{
		{"no JSON", "POST", completions, "{", nil, 400},
		{"deep JSON", "POST", completions, strings.Repeat("[", 900), nil, 400},
		{"list", "POST", completions, "[]", nil, 400},
		{"no model", "POST", completions, "{}", nil, 400},
		{"two models", "POST", completions, `{"model":"m","model":"n"}`, nil, 400},
		{"model of number", "POST", completions, `{"model":1}`, nil, 400},
		{"stream of text", "POST", completions, `{"model":"m","stream":"yes"}`, nil, 400},
		{"negative limit", "POST", completions, `{"model":"m","max_tokens":-1}`, nil, 400},
		{"unknown model", "POST", completions, `{"model":"x"}`, nil, 404},
		{"unknown service", "GET", "/services/x/y", "", nil, 404},
		{"unknown path", "GET", "/v2", "", nil, 404},
		{"wrong method", "GET", completions, "", nil, 405},
		{"dots", "GET", "/services/records/%2e%2e/x", "", nil, 400},
		{"large", "POST", completions, strings.Repeat("x", 1001), nil, 413},
		{"two keys", "POST", completions, modelBody, []string{"Authorization", "Bearer x"}, 400},
		{"two idempotency keys", "POST", completions, modelBody, []string{HeaderKey, "a", HeaderKey, "b"}, 400},
		{"odd idempotency key", "POST", completions, modelBody, []string{HeaderKey, "a b"}, 400},
		{"two classes", "POST", completions, modelBody, []string{HeaderClass, "urgent", HeaderClass, "urgent"}, 400},
		{"bad class", "POST", completions, modelBody, []string{HeaderClass, "first"}, 400},
		{"bad deadline", "POST", completions, modelBody, []string{HeaderDeadline, "5"}, 400},
		{"past deadline", "POST", completions, modelBody, []string{HeaderDeadline, "-1s"}, 400},
		{"bad hint", "POST", completions, modelBody, []string{HeaderCostHint, "-1"}, 400},
		{"no idempotency key", "POST", "/services/records/save", "x", nil, 400},
		{"no key table", "POST", "/services/records/save", "x", []string{HeaderKey, "k"}, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := send(t, f.request(t, c.method, c.path, c.body, c.header...))
			same(t, "status", c.status, resp.StatusCode)
			same(t, "verdict", "not-run", refusal(t, resp).Verdict)
		})
	}
	same(t, "in flight", 0, f.edge.InFlight())
}

func TestUnknownKeysAreRefused(t *testing.T) {
	f := newFixture(t, noUpstream(t), nil)
	for _, value := range []string{"", "Bearer", "Bearer wrong", "Basic " + testKey, testKey} {
		r := f.request(t, http.MethodPost, "/v1/completions", modelBody)
		r.Header.Set("Authorization", value)
		resp := send(t, r)
		same(t, "status", http.StatusUnauthorized, resp.StatusCode)
		same(t, "code", verdict.CodeUnauthorized, refusal(t, resp).Code)
	}
}

func raw(t testing.TB, f *fixture, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return readResponse(t, c)
}

const rawHead = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"

// A sender gives the head of a request and then a few bytes of the body, and no more.
// It must not hold its place for good.
func TestSlowSenderIsRefused(t *testing.T) {
	f := newFixture(t, noUpstream(t), func(c *Config) { c.Limits.BodyTimeout = 50 * time.Millisecond })
	resp := raw(t, f, rawHead+"Content-Length: 100\r\n\r\n{")
	same(t, "status", http.StatusRequestTimeout, resp.StatusCode)
	same(t, "closed", true, resp.Close)
	same(t, "verdict", "not-run", refusal(t, resp).Verdict)
}

// A body without declared length turns out to be too large while it is read.
func TestLargeBodyInChunks(t *testing.T) {
	f := newFixture(t, noUpstream(t), func(c *Config) { c.Limits.MaxBody = 8 })
	resp := raw(t, f, rawHead+"Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n")
	same(t, "status", http.StatusRequestEntityTooLarge, resp.StatusCode)
	same(t, "verdict", "not-run", refusal(t, resp).Verdict)
}

// An organisation floods the router: its queue is full. Its next request must be
// refused for the price of its head, with a time to come back, before any of its body
// has been sent.
func TestFloodIsRefusedBeforeItsBody(t *testing.T) {
	hold := make(chan struct{})
	f := newFixture(t, http.HandlerFunc(engine), func(c *Config) {
		c.Source = fakeCatalog{maxQueued: 1}
		c.Scheduler.(*fakeScheduler).hold = hold
		c.Scheduler.(*fakeScheduler).waiting = make(chan struct{}, 1)
	})
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/v1/completions", modelBody))
		if err != nil {
			answered <- 0
			return
		}
		_ = resp.Body.Close()
		answered <- resp.StatusCode
	}()
	<-f.scheduler.waiting
	resp := raw(t, f, rawHead+"Content-Length: 1000\r\n\r\n")
	same(t, "status", http.StatusTooManyRequests, resp.StatusCode)
	same(t, "retry after", "1", resp.Header.Get(headerRetryAfter))
	detail := refusal(t, resp)
	same(t, "verdict", "not-run", detail.Verdict)
	same(t, "entries", []string{"127.0.0.1:9"}, detail.Entries)
	close(hold)
	same(t, "first request", http.StatusOK, <-answered)
}
