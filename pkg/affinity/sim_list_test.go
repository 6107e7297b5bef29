package affinity

import (
	"fmt"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// leavingEngine is an engine that was replaced and is listed until a time.
type leavingEngine struct {
	version string
	until   time.Time
}

// list returns the versions of the engines that the store lists.
func (s *sim) list() []string {
	list := append([]string(nil), s.versions...)
	for _, e := range s.leaving {
		list = append(list, e.version)
	}
	return list
}

func (s *sim) setList(r *simRouter, versions []string, rev int64, asOf time.Time) {
	known, changed := r.listedAt, rev != r.rev
	r.set, r.rev, r.listedAt = versions, rev, asOf
	if !changed {
		return
	}
	var list []upstream.Instance
	for i, v := range versions {
		list = append(list, upstream.Instance{ID: upstream.ID(fmt.Sprintf("%d-%s", i, v)), Service: "s", Software: v, State: upstream.Ready})
	}
	r.SetUpstreams(upstream.NewSet(list), known, s.now)
}
