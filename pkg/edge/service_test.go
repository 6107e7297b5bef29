package edge

import (
	"io"
	"net/http"
	"testing"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// service echoes the body and tells what it received in headers.
func service(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(dispatch.HeaderAttempt, r.Header.Get(dispatch.HeaderAttempt))
	w.Header().Set("X-Target", r.Method+" "+r.URL.RequestURI())
	w.Header().Set("X-Authorization", r.Header.Get("Authorization"))
	w.Header().Set("X-Org", r.Header.Get(dispatch.HeaderOrg))
	_, _ = io.Copy(w, r.Body)
}

func TestServiceCallReachesUpstreamWithoutKey(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(service), nil)
	resp := send(t, f.request(t, http.MethodPut, "/services/records/a%2Fb/c?x=1", "saved"))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	same(t, "body", "saved", string(body))
	same(t, "target", "PUT /a%2Fb/c?x=1", resp.Header.Get("X-Target"))
	same(t, "authorization", "", resp.Header.Get("X-Authorization"))
	same(t, "organisation", "a", resp.Header.Get("X-Org"))
	same(t, "verdict", verdict.Ran.String(), resp.Header.Get(verdict.Header))
}
