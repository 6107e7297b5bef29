package fleet

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func (r *router) NewStreams() []affinity.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.newStreams
	r.newStreams = nil
	return list
}

func (r *router) AddStreams(list []affinity.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, list...)
}

func (r *router) Software(always bool) *affinity.Statement {
	if !always {
		return nil
	}
	return &affinity.Statement{WatchedMs: 1}
}

func (r *router) MergeSoftware(s affinity.Statement, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, s)
}

func (r *router) Stream(q affinity.Question) affinity.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replies[q.Key]
}

func (r *router) MergeLeaving(Member, []LeavingUpstream, time.Time) {}

func (r *router) Founded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.founded = true
}

func (r *router) Suspects(after uint64) ([]wire.Suspicion, uint64) {
	if after >= 3 {
		return nil, 3
	}
	return []wire.Suspicion{{Content: 9, Crashes: []wire.Crash{{Upstream: 1}}}}, 3
}

func (r *router) MergeSuspects(list []wire.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects = list
}
