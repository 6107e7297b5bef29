package config

import (
	"math/rand/v2"
	"time"
)

// The number of routers that read the head row each Poll, and the key by which they
// are ranked.
const (
	Pollers   = 2
	PollerKey = "config/poller"
)

// Ranker tells whether this router is among the first n alive members by rendezvous
// hashing of key.
type Ranker interface {
	Among(key string, n int) bool
}

// pollPlan decides when a router reads the head row. It has no clock of its own.
type pollPlan struct {
	poll time.Duration
	// fallback is the age of the confirmation past which every router reads by itself.
	fallback time.Duration
	random   *rand.Rand
	next     time.Time
}

// newPollPlan draws a fallback between 2/5 and 1/2 of confirmWithin, so that routers
// that lose their pollers don't all read at once, and each still notices an outage
// of the table long enough before its confirmation lapses.
func newPollPlan(poll, confirmWithin time.Duration, random *rand.Rand) *pollPlan {
	p := &pollPlan{poll: poll, random: random}
	p.fallback = confirmWithin*2/5 + p.jitter(confirmWithin/10)
	return p
}

func (p *pollPlan) jitter(most time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(most) + 1))
}

// due says whether to read now. age and ok are Live.Confirmed, chosen is Among.
func (p *pollPlan) due(now time.Time, age time.Duration, ok, chosen bool) bool {
	if now.Before(p.next) {
		return false
	}
	return chosen || !ok || age >= p.fallback
}

// sent notes a read: pollers go on each Poll, the others wait up to half of it longer,
// so that during an outage they don't all read at once. Two reads must stay closer
// than a failed read counts (Live.fresh), also when each runs into its timeout.
func (p *pollPlan) sent(now time.Time, chosen bool) {
	p.next = now.Add(p.poll)
	if !chosen {
		p.next = p.next.Add(p.jitter(p.poll / 2))
	}
}
