package placement

import (
	"math"
	"slices"
	"sync"
	"time"
)

// shareWindow is the time constant, in seconds, with which past traffic decays: short enough that
// an organisation that starts to send requests gets its share within a second or two.
const shareWindow = 2.0

// minCapacityPart is the part of the declared capacity that is shared at least. Just after a start
// nobody has got anything yet, and without a lower bound everybody would be over its share.
const minCapacityPart = 0.5

// Use is an organisation's traffic, in tokens a second.
type Use struct {
	Asked float64
	// Got is the traffic that was sent to engines, less what ended before it began there. Begun is
	// the part of it that began.
	Got   float64
	Begun float64
}

// Shares compares the traffic of organisations with their max-min fair shares of the capacity, over
// all routers.
type Shares struct {
	mu     sync.Mutex
	own    map[string]*account
	others map[string]Use
	// peak is the recent maximum of what all organisations got together, as of peakAt.
	peak   float64
	peakAt time.Time
	// askedBuffer is reused by each call of Standing.
	askedBuffer []float64
}

// account holds decaying sums.
type account struct {
	asked, got, begun float64
	updatedAt         time.Time
}

func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.updatedAt).Seconds()
	if elapsed > 0 {
		f := math.Exp(-elapsed / shareWindow)
		a.asked *= f
		a.got *= f
		a.begun *= f
		a.updatedAt = now
	}
}

// NewShares returns Shares without any traffic.
func NewShares() *Shares { return &Shares{own: make(map[string]*account)} }

func (s *Shares) account(org string, now time.Time) *account {
	a := s.own[org]
	if a == nil {
		a = &account{updatedAt: now}
		s.own[org] = a
	}
	a.decay(now)
	return a
}

// AddAsked counts a request of size tokens.
func (s *Shares) AddAsked(org string, size float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org, now).asked += size
}

// AddGot counts a request that was sent to an engine.
func (s *Shares) AddGot(org string, size float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org, now).got += size
}

// TakeBack takes back a request that was sent to an engine at gotAt and never began there.
//
// Some requests that were sent fail, are refused by engines, or are cancelled by their callers
// first, most of them at a router that lacks processor time. If they counted, an organisation whose
// callers use that router would seem to get what it never had, and others would keep ahead of it.
func (s *Shares) TakeBack(org string, size float64, gotAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(org, now)
	remaining := size * math.Exp(-max(0, now.Sub(gotAt).Seconds())/shareWindow)
	a.got = max(0, a.got-remaining)
}

// AddBegun counts a request whose first event arrived.
func (s *Shares) AddBegun(org string, size float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org, now).begun += size
}

// Own returns the traffic at this router, by organisation.
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

// SetOthers replaces the traffic that the other routers reported.
func (s *Shares) SetOthers(others map[string]Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = others
}

// Standing compares an organisation's traffic with its fair share.
type Standing struct {
	// ShareRatio is what it gets over what it is due: over 1 it is over its share.
	ShareRatio float64
	// AtCapacity is whether the whole declared capacity of the engines is in use.
	AtCapacity bool
	// Ahead is what it gets over the least that any organisation asking for as much gets; 0 for an
	// organisation within its share.
	Ahead float64
}

// Standing returns an organisation's standing at a capacity in tokens a second.
//
// It is called for each request, so it allocates no map of all organisations and no new slice
// (BenchmarkStanding).
func (s *Shares) Standing(org string, capacity float64, now time.Time) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	var mine Use
	got, asked := 0.0, 0.0
	s.askedBuffer = s.askedBuffer[:0]
	s.forEach(now, func(name string, use Use) {
		got += use.Got
		asked += use.Asked
		s.askedBuffer = append(s.askedBuffer, use.Asked)
		if name == org {
			mine = use
		}
	})
	standing := Standing{AtCapacity: got >= capacity}
	due := waterLevel(s.askedBuffer, sharedCapacity(s.recentPeak(got, now), asked, capacity))
	if due <= 0 {
		return standing
	}
	standing.ShareRatio = mine.Got / due
	if standing.ShareRatio > 1 {
		standing.Ahead = s.aheadOfLeast(mine.Got, due, now)
	}
	return standing
}

// aheadOfLeast is got over the least that any organisation asking for as much gets.
func (s *Shares) aheadOfLeast(got, due float64, now time.Time) float64 {
	least := got
	s.forEach(now, func(_ string, use Use) {
		if use.Asked >= got {
			least = min(least, use.Got)
		}
	})
	return got / max(least, minGotOfDue*due)
}

// minGotOfDue bounds the least got, as a part of what is due: the others are held back for the sake
// of an organisation that gets nearly nothing only as far as it can grow within a report or two.
const minGotOfDue = 0.2

// peakWindow is the time constant, in seconds, with which the peak decays.
const peakWindow = 20.0

// recentPeak is the most that all organisations got together in the last seconds.
//
// Organisations over their share are held back, and less is got. If the shared capacity fell with
// it, they would be further over their share, and so on until engines are idle.
func (s *Shares) recentPeak(got float64, now time.Time) float64 {
	elapsed := max(0, now.Sub(s.peakAt).Seconds())
	s.peak, s.peakAt = max(got, s.peak*math.Exp(-elapsed/peakWindow)), now
	return s.peak
}

// sharedCapacity is the capacity to share when organisations ask for asked together and got peak at
// most.
//
// Engines that crash or recompute prompts do less than they are declared to. With shares of the
// declared capacity nobody would be over its share, and whoever asks most would get most. Engines
// that are limited by their slots may do a fifth of their declared capacity at all times: where far
// less is got than asked for, what is got is taken as the capacity.
func sharedCapacity(peak, asked, capacity float64) float64 {
	if asked <= 0 {
		return min(capacity, max(peak, minCapacityPart*capacity))
	}
	saturated := min(1, max(0, (unsaturatedServed-peak/asked)/(unsaturatedServed-saturatedServed)))
	floor := (1-saturated)*minCapacityPart*capacity + saturated*minAskedPart*min(asked, capacity)
	return min(capacity, max(peak, floor))
}

// Parts of the traffic that is asked for: from unsaturatedServed on, what isn't got says nothing
// about the engines; below saturatedServed they are assumed to be saturated. Just after a start
// little has been got yet, so at least minAskedPart is shared.
const (
	unsaturatedServed = 0.85
	saturatedServed   = 0.65
	minAskedPart      = 0.2
)

// forEach calls visit with the traffic of each organisation over all routers.
func (s *Shares) forEach(now time.Time, visit func(org string, use Use)) {
	for org, use := range s.others {
		if _, isOwn := s.own[org]; isOwn {
			own := s.ownUse(org, now)
			use.Asked += own.Asked
			use.Got += own.Got
		}
		visit(org, use)
	}
	for org := range s.own {
		if _, reported := s.others[org]; !reported {
			visit(org, s.ownUse(org, now))
		}
	}
}

// All returns the traffic of all organisations over all routers.
func (s *Shares) All(now time.Time) map[string]Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := make(map[string]Use, len(s.own)+len(s.others))
	s.forEach(now, func(org string, use Use) { uses[org] = use })
	return uses
}

// waterLevel returns the max-min fair share: the amount at which the capacity is used up when
// nobody gets more than it asks for; infinite when everybody can have what it asks for. It sorts
// asked.
func waterLevel(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	remaining := capacity
	for i, a := range asked {
		level := remaining / float64(len(asked)-i)
		if a >= level {
			return level
		}
		remaining -= a
	}
	return math.Inf(1)
}
