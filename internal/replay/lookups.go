package replay

import "github.com/flamingowind/flamingowind/pkg/upstream"

func (w *world) keptAnywhere(r *Request) int {
	most := 0
	for _, e := range w.engines {
		most = max(most, e.kept.tokens(r.chain))
	}
	return most
}

func (w *world) engineOf(in *upstream.Instance) *engine {
	for _, e := range w.engines {
		if e.instance == in {
			return e
		}
	}
	return nil
}
