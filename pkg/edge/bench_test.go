package edge

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
)

const benchEvents = 1000

// benchEngine answers at once; a stream has benchEvents events, each flushed.
func benchEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(dispatch.HeaderAttempt, r.Header.Get(dispatch.HeaderAttempt))
	if !strings.Contains(string(body), "true") {
		_, _ = io.WriteString(w, plainAnswer)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for range benchEvents {
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a token\"}}]}\n\n")
		_ = flush.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func benchFixture(b *testing.B) *fixture {
	return newFixture(b, http.HandlerFunc(benchEngine), func(c *Config) {
		c.Source = noResume{}
		c.Log = &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	})
}

// runCall runs one call to its end; the answer's head is within it.
func runCall(b *testing.B, url, body string) {
	r, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).WriteTo(io.Discard); err != nil {
		b.Fatal(err)
	}
	_ = resp.Body.Close()
}

func benchBoth(b *testing.B, body string, events int) {
	f := benchFixture(b)
	for name, url := range map[string]string{"direct": f.scheduler.urls[0], "router": f.url} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				runCall(b, url, body)
			}
			if events > 0 {
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
			}
		})
	}
}

// BenchmarkCall compares a plain call through the router with a direct one.
func BenchmarkCall(b *testing.B) { benchBoth(b, modelBody, 0) }

// BenchmarkStream compares a streamed token through the router with a direct one.
func BenchmarkStream(b *testing.B) { benchBoth(b, streamBody, benchEvents) }
