package placement

import (
	"math"
	"slices"
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
	// Got is what was given to engines, less what ended before it began there; Begun what began.
	Got   float64
	Begun float64
}

// Shares compares what organisations get with the max-min share of the capacity that
// each is due, over all routers.
type Shares struct {
	mu     sync.Mutex
	own    map[string]*account
	others map[string]Use
	// done is the most that was got together lately, at doneAt.
	done   float64
	doneAt time.Time
	// asked is reused by each question for a standing.
	asked []float64
}

// account holds sums that decay.
type account struct {
	asked, got, begun float64
	at                time.Time
}

func (a *account) decay(now time.Time) {
	passed := now.Sub(a.at).Seconds()
	if passed > 0 {
		f := math.Exp(-passed / shareWindow)
		a.asked *= f
		a.got *= f
		a.begun *= f
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

// Return takes back a request that was given to an engine at given and never began there.
//
// Guard: some of what is given fails, is refused by engines, or is left by its caller first, most
// of it at a router that is short of processor. Counted as got, it makes an organisation whose
// callers come there seem to have what it never had, and others keep ahead of it.
func (s *Shares) Return(org string, size float64, given, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(org, now)
	left := size * math.Exp(-max(0, now.Sub(given).Seconds())/shareWindow)
	a.got = max(0, a.got-left)
}

// Begin counts a request whose first event came.
func (s *Shares) Begin(org string, size float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org, now).begun += size
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
	return Use{Asked: a.asked / shareWindow, Got: a.got / shareWindow, Begun: a.begun / shareWindow}
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
	// Ahead is what it gets over the least that another organisation gets which asks for as much;
	// 0 for one within its share.
	Ahead float64
}

// Standing gives how an organisation stands at a capacity in tokens a second.
//
// It is asked for each request, so it makes no map of all organisations and no new list
// (BenchmarkStanding).
func (s *Shares) Standing(org string, capacity float64, now time.Time) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	var mine Use
	got, asked := 0.0, 0.0
	s.asked = s.asked[:0]
	s.each(now, func(name string, use Use) {
		got += use.Got
		asked += use.Asked
		s.asked = append(s.asked, use.Asked)
		if name == org {
			mine = use
		}
	})
	standing := Standing{Full: got >= capacity}
	due := waterLevel(s.asked, shared(s.mostDone(got, now), asked, capacity))
	if due <= 0 {
		return standing
	}
	standing.Share = mine.Got / due
	if standing.Share > 1 {
		standing.Ahead = s.ahead(mine.Got, due, now)
	}
	return standing
}

// ahead is what an organisation that gets got has over the least that another one gets which asks
// for as much.
func (s *Shares) ahead(got, due float64, now time.Time) float64 {
	least := got
	s.each(now, func(_ string, use Use) {
		if use.Asked >= got {
			least = min(least, use.Got)
		}
	})
	return got / max(least, leastBehind*due)
}

// leastBehind bounds, as a part of its due, what is believed of an organisation that gets nearly
// nothing: the others are held back for its sake only as far as it can grow within a report or
// two.
const leastBehind = 0.2

// doneWindow is the time constant in seconds with which the most that engines did is forgotten.
const doneWindow = 20.0

// mostDone is the most that organisations got together in the last seconds.
//
// Guard: organisations over their share give way, and less is got for it. If what is shared fell
// with it, they would be further over, and so on until engines are idle.
func (s *Shares) mostDone(got float64, now time.Time) float64 {
	passed := max(0, now.Sub(s.doneAt).Seconds())
	s.done, s.doneAt = max(got, s.done*math.Exp(-passed/doneWindow)), now
	return s.done
}

// shared is the capacity that is shared when organisations ask for asked together and got done at most.
//
// Guard: engines that crash or read prompts again do less than they are said to. Shares
// of the nominal capacity would then be more than anybody gets, nobody would be over its
// share, and whoever asks most would get most. Engines whose slots are the bound may do a fifth
// of it at all times: where far less is got than asked for, what is got is all that they do.
func shared(done, asked, capacity float64) float64 {
	if asked <= 0 {
		return min(capacity, max(done, leastDone*capacity))
	}
	saturated := min(1, max(0, (mostServed-done/asked)/(mostServed-leastServed)))
	least := (1-saturated)*leastDone*capacity + saturated*leastOfAsked*min(asked, capacity)
	return min(capacity, max(done, least))
}

// Parts of what is asked: from mostServed on, what isn't got says nothing of the engines, below
// leastServed they are taken to do no more. Just after a start little has been got yet, so
// leastOfAsked is shared at least.
const (
	mostServed   = 0.85
	leastServed  = 0.65
	leastOfAsked = 0.2
)

// each gives the traffic of each organisation over all routers.
func (s *Shares) each(now time.Time, take func(org string, use Use)) {
	for org, use := range s.others {
		if _, here := s.own[org]; here {
			own := s.ownUse(org, now)
			use.Asked += own.Asked
			use.Got += own.Got
		}
		take(org, use)
	}
	for org := range s.own {
		if _, told := s.others[org]; !told {
			take(org, s.ownUse(org, now))
		}
	}
}

// All gives the traffic of all organisations over all routers.
func (s *Shares) All(now time.Time) map[string]Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := make(map[string]Use, len(s.own)+len(s.others))
	s.each(now, func(org string, use Use) { uses[org] = use })
	return uses
}

// waterLevel is the share at which the capacity is used up when nobody gets more than it
// asks for; infinite when all can have what they ask. It sorts asked.
func waterLevel(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
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
