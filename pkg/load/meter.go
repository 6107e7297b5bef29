package load

import (
	"context"
	"sync/atomic"
	"time"
)

// sampleEvery is the pace of samples of the service received.
const sampleEvery = 100 * time.Millisecond

// Meter counts the tokens that each organisation's callers received.
type Meter struct {
	orgs   []string
	index  map[string]int
	tokens []atomic.Int64
}

// Sample is the tokens received by each organisation up to a moment.
type Sample struct {
	At     time.Time
	Tokens []int64
}

// NewMeter returns a meter for the organisations.
func NewMeter(orgs []string) *Meter {
	m := &Meter{orgs: orgs, index: make(map[string]int), tokens: make([]atomic.Int64, len(orgs))}
	for i, o := range orgs {
		m.index[o] = i
	}
	return m
}

// Add counts n tokens for the request's organisation; it suits Caller.OnToken.
func (m *Meter) Add(q *Request, n int) { m.tokens[m.index[q.Org.Name]].Add(int64(n)) }

func (m *Meter) sample() Sample {
	s := Sample{At: time.Now(), Tokens: make([]int64, len(m.tokens))}
	for i := range m.tokens {
		s.Tokens[i] = m.tokens[i].Load()
	}
	return s
}

// Watch samples until ctx ends and returns the samples.
func (m *Meter) Watch(ctx context.Context) []Sample {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	samples := []Sample{m.sample()}
	for {
		select {
		case <-ticker.C:
			samples = append(samples, m.sample())
		case <-ctx.Done():
			return append(samples, m.sample())
		}
	}
}
