package placement

import (
	"math"
	"sort"
	"sync"
	"time"
)

// shareWindow is the time constant in seconds with which traffic is forgotten: short
// enough that an organisation which begins to ask gets its share within a second or two.
const shareWindow = 2.0

// leastDone is the part of the declared capacity that is shared at least. Just after a
// start nobody has got anything, and of nothing everybody would have more than its share.
const leastDone = 0.5

// Use is an organisation's traffic, in tokens a second.
type Use struct {
	Asked float64
	Got   float64
}

// Shares compares what organisations get with the max-min share of the capacity that
// each is due, over all routers.
type Shares struct {
	mu     sync.Mutex
	own    map[string]*account
	others map[string]Use
}

// account holds sums that decay.
type account struct {
	asked, got float64
	at         time.Time
}

func (a *account) decay(now time.Time) {
	passed := now.Sub(a.at).Seconds()
	if passed > 0 {
		f := math.Exp(-passed / shareWindow)
		a.asked *= f
		a.got *= f
		a.at = now
	}
}

// NewShares returns empty accounts.
func NewShares() *Shares { return &Shares{own: make(map[string]*account)} }

func (s *Shares) account(org string, now time.Time) *account {
	a := s.own[org]
	if a == nil {
		a = &account{at: now}
		s.own[org] = a
	}
	a.decay(now)
	return a
}

// Ask counts a request of size tokens.
func (s *Shares) Ask(org string, size float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org, now).asked += size
}

// Get counts a request that was given to an engine.
func (s *Shares) Get(org string, size float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org, now).got += size
}

// Own gives this router's part of the traffic.
func (s *Shares) Own(now time.Time) map[string]Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := make(map[string]Use, len(s.own))
	for org := range s.own {
		own[org] = s.ownUse(org, now)
	}
	return own
}

func (s *Shares) ownUse(org string, now time.Time) Use {
	a := s.account(org, now)
	return Use{Asked: a.asked / shareWindow, Got: a.got / shareWindow}
}

// SetOthers replaces the other routers' part.
func (s *Shares) SetOthers(others map[string]Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = others
}

// Standing is how an organisation stands.
type Standing struct {
	// Share is what it gets over what it is due: over 1 it has more than its share.
	Share float64
	// Full is whether all that the engines are declared to do is in use.
	Full bool
}

// Standing gives how an organisation stands at a capacity in tokens a second.
func (s *Shares) Standing(org string, capacity float64, now time.Time) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := s.total(now)
	got := allGot(uses)
	standing := Standing{Full: got >= capacity}
	done := min(capacity, max(got, leastDone*capacity))
	if due := waterLevel(uses, done); due > 0 {
		standing.Share = uses[org].Got / due
	}
	return standing
}

// All gives the traffic of all organisations over all routers.
func (s *Shares) All(now time.Time) map[string]Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total(now)
}

func (s *Shares) total(now time.Time) map[string]Use {
	uses := make(map[string]Use, len(s.own)+len(s.others))
	for org, use := range s.others {
		uses[org] = use
	}
	for org := range s.own {
		own, sum := s.ownUse(org, now), uses[org]
		uses[org] = Use{Asked: own.Asked + sum.Asked, Got: own.Got + sum.Got}
	}
	return uses
}

// allGot is what all organisations get together.
//
// Guard: engines that crash or read prompts again do less than they are said to. Shares
// of the nominal capacity would then be more than anybody gets, nobody would be over its
// share, and whoever asks most would get most.
func allGot(uses map[string]Use) float64 {
	sum := 0.0
	for _, u := range uses {
		sum += u.Got
	}
	return sum
}

// waterLevel is the share at which the capacity is used up when nobody gets more than it
// asks for; infinite when all can have what they ask.
func waterLevel(uses map[string]Use, capacity float64) float64 {
	asked := make([]float64, 0, len(uses))
	for _, u := range uses {
		asked = append(asked, u.Asked)
	}
	sort.Float64s(asked)
	left := capacity
	for i, a := range asked {
		level := left / float64(len(asked)-i)
		if a >= level {
			return level
		}
		left -= a
	}
	return math.Inf(1)
}
