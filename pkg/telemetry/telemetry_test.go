package telemetry

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A fleet declares more organisations than one scrape should carry. Each must still
// be counted, but those past the bound under one shared label.
func TestOrganisationsPastTheBoundShareALabel(t *testing.T) {
	m := NewMetrics()
	r := NewRequests(m.Scope)
	for i := range MaxOrgs + 50 {
		r.QueueWait(fmt.Sprintf("org-%04d", i), "normal", time.Millisecond)
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body := w.Body.String()
	if got := strings.Count(body, "flamingowind_request_queue_wait_seconds_count{"); got != MaxOrgs+1 {
		t.Fatalf("%d series, want %d", got, MaxOrgs+1)
	}
	if !strings.Contains(body, `flamingowind_request_queue_wait_seconds_count{class="normal",organisation="other"} 50`) {
		t.Fatal("the organisations past the bound were not counted together")
	}
}

// Two customers have names that differ in a dash and a dot only. An operator who looks
// for the one that floods must not see both as one series.
func TestOrganisationsWithAlikeNamesAreCountedApart(t *testing.T) {
	m := NewMetrics()
	r := NewRequests(m.Scope)
	for _, org := range []string{"north-a", "north.a", "north_a"} {
		r.QueueWait(org, "normal", time.Millisecond)
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, org := range []string{"north-a", "north.a", "north_a"} {
		series := `flamingowind_request_queue_wait_seconds_count{class="normal",organisation="` + org + `"} 1`
		if !strings.Contains(w.Body.String(), series) {
			t.Errorf("no series %s", series)
		}
	}
}

func TestLogRefusesAnUnknownLevel(t *testing.T) {
	if _, err := NewLog(new(bytes.Buffer), "loud", "json"); err == nil {
		t.Fatal("want an error")
	}
}
