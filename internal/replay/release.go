package replay

import (
	"fmt"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Release replaces engines, one after the other, by ones of another software version, which keep
// nothing yet. The ones that they replace get nothing new.
type Release struct {
	// At is when the first one is replaced, Gap the time until the next.
	At, Gap time.Duration
	// Engines are the indexes of the engines.
	Engines []int
	Version string
}

// release adds the engines that the service's releases start.
func (w *world) release(releases []Release) {
	for n, r := range releases {
		for k, i := range r.Engines {
			old, at := w.engines[i], r.At+time.Duration(k)*r.Gap
			in := *old.instance
			in.ID, in.Software = upstream.ID(fmt.Sprintf("%s-%d", in.ID, n)), r.Version
			old.leaves = at
			w.engines = append(w.engines, &engine{instance: &in, model: w.model, slow: old.slow, kept: keeps{most: w.model.Keeps}, starts: at})
		}
	}
}

// serves reports whether an engine takes new requests.
func (e *engine) serves(since time.Duration) bool {
	return since >= e.starts && (e.leaves == 0 || since < e.leaves)
}
