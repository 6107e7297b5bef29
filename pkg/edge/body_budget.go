package edge

import (
	"net/http"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// orgBodies is the part of all body bytes that one organisation may hold: 1/orgBodies.
const orgBodies = 4

// bodyBudget bounds the bytes of request bodies held at once, so that many large or
// slow bodies can't fill a small host's memory, nor one organisation keep the others out.
type bodyBudget struct {
	mu    sync.Mutex
	max   int64
	total int64
	orgs  map[string]int64
}

func newBodyBudget(max int64) *bodyBudget {
	return &bodyBudget{max: max, orgs: make(map[string]int64)}
}

// tune sets the bound from now on; what is held stays.
func (b *bodyBudget) tune(max int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.max = max
}

// take reserves n bytes and gives the function that frees them, to be called once.
func (b *bodyBudget) take(org string, n int64) (func(), *verdict.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total+n > b.max || b.orgs[org]+n > max(b.max/orgBodies, n) {
		return nil, verdict.New(verdict.NotRun, http.StatusTooManyRequests, verdict.CodeOverloaded,
			"too many request bodies are held for the organisation").WithRetryAfter(time.Second)
	}
	b.total += n
	b.orgs[org] += n
	return func() { b.free(org, n) }, nil
}

func (b *bodyBudget) free(org string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= n
	b.orgs[org] -= n
	if b.orgs[org] == 0 {
		delete(b.orgs, org)
	}
}
