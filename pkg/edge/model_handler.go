package edge

import (
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// modelHandler serves completions.
type modelHandler struct{ edge *Edge }

func (h *modelHandler) serve(w http.ResponseWriter, r *http.Request, c caller) {
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

func (h *modelHandler) prepare(q *request) *verdict.Error {
	in, err := inspect(q.body)
	if err != nil {
		return err
	}
	q.model = in.model
	route, ok := q.catalog.Model(in.model)
	if !ok {
		return verdict.New(verdict.NotRun, http.StatusNotFound, verdict.CodeNotFound, "there is no model "+in.model)
	}
	q.route = route
	q.prefix = prefixHash(in.prompt)
	q.content = contentHash(route.Pool, q.r.Method, q.r.URL.Path, q.body)
	q.call = dispatch.Call{
		Method:     http.MethodPost,
		Path:       q.r.URL.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       q.body,
		Model:      true,
		Stream:     in.stream,
		CanResume:  q.catalog.Resumes,
		OnEventGap: q.gap,
	}
	return nil
}
