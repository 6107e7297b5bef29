package edge

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

const servicesPrefix = "/services/"

// serviceHandler serves calls of plain services.
type serviceHandler struct{ edge *Edge }

func (h *serviceHandler) serve(w http.ResponseWriter, r *http.Request, c caller) {
	q := newRequest(h.edge, w, r, c)
	defer q.end()
	if err := q.receive(); err != nil {
		q.refuse(err)
		return
	}
	if err := h.prepare(q); err != nil {
		q.refuse(err)
		return
	}
	q.run()
}

func (h *serviceHandler) prepare(q *request) *verdict.Error {
	name, path, err := splitService(q.r)
	if err != nil {
		return err
	}
	q.model = name
	route, ok := q.catalog.Service(name)
	if !ok {
		return verdict.New(verdict.NotRun, http.StatusNotFound, verdict.CodeNotFound, "there is no service "+name)
	}
	q.route = route
	q.content = contentHash(route.Pool, q.r.Method, path+"?"+q.r.URL.RawQuery, q.body)
	q.call = dispatch.Call{
		Method: q.r.Method,
		Path:   path,
		Query:  q.r.URL.RawQuery,
		Header: serviceHeader(q.r.Header),
		Body:   q.body,
		Units:  route.CallUnits,
	}
	return nil
}

// splitService gives a service's name and the escaped path for its upstream. Dot
// segments are refused: the upstream could read another path out of them than its
// operators' rules did.
func splitService(r *http.Request) (name, path string, bad *verdict.Error) {
	escaped := mux.Vars(r)["name"]
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return "", "", badRequest("the service's name can't be read")
	}
	path = strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix+escaped)
	if path == "" {
		path = "/"
	}
	if slices.ContainsFunc(strings.Split(r.URL.Path, "/"), isDots) {
		return "", "", badRequest("the path holds . or .. segments")
	}
	return name, path, nil
}

func isDots(segment string) bool { return segment == "." || segment == ".." }

// serviceHeader leaves out the API key: it is for routers only.
func serviceHeader(h http.Header) http.Header {
	out := dispatch.EndToEnd(h)
	out.Del("Authorization")
	return out
}
