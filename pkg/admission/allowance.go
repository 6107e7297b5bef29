package admission

import "time"

const (
	// refusingPart is the part of its processor that a router may spend on refusals: serving
	// must stay the larger one.
	refusingPart = 0.4
	// usualRefusal is the time that a refusal is taken to need of a whole core before any was
	// measured, leastRefusal what is believed of a measurement at least.
	usualRefusal = 20 * time.Microsecond
	leastRefusal = 5 * time.Microsecond
	// refusalsMeasured is how many refusals the mean follows: enough to hold several of the
	// pauses in which a quota takes the processor away.
	refusalsMeasured = 1000
	// refusalsBurst is how many may be refused at once after a pause: all that one batch takes.
	refusalsBurst = sweep
	// reservePeriod is the time whose processor may be spent at once after a pause.
	reservePeriod = 100 * time.Millisecond
)

// allowance bounds refusals to a part of the processor that the process really gets. Its times are
// those of the processor clock: what the process had used of it by then.
//
// Guard: without a bound, refusing takes the processor that serving needs, and a router that isn't
// told its share of a core can't work the bound out. In passing time the bound doesn't hold where a
// quota gives the processor in turns: a batch of refusals fits into one, and seems to take a small part
// of the time, though it uses the turn up.
type allowance struct {
	// left is the processor time that refusals may take as of at.
	left time.Duration
	at   time.Time
	// each is the mean processor time of a refusal.
	each time.Duration
	// share is the part of a core that the process got lately, or could have.
	share share
}

// newAllowance is that of a host with that many cores; 0 when it isn't known.
func newAllowance(cores float64) allowance {
	if cores <= 0 {
		cores = 1
	}
	a := allowance{each: time.Duration(float64(usualRefusal) / cores), share: newShare()}
	a.refill()
	return a
}

// most is the processor time that refusals may take at once.
//
// Guard: a count of refusals is worth a whole second of the processor at a host with a small share of
// a core. A router that stood still refused all that had come meanwhile, and served nobody until it was done.
func (a *allowance) most() time.Duration {
	return min(refusalsBurst*a.each, time.Duration(a.share.value*float64(reservePeriod)))
}

// advance lets the allowance grow until now.
func (a *allowance) advance(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		a.left = min(a.most(), a.left+time.Duration(refusingPart*float64(passed)))
		a.at = now
	}
}

// room is how many connections may be refused now.
func (a *allowance) room(now time.Time) int {
	a.advance(now)
	return int(a.left / a.each)
}

// spend counts n refusals that were made at now.
func (a *allowance) spend(n int, now time.Time) {
	a.advance(now)
	a.left -= time.Duration(n) * a.each
}

// settle replaces what was spent on the last n refusals by the processor time that they took. A
// measurement that is too long leaves no debt.
func (a *allowance) settle(n int, took time.Duration) {
	a.left = max(0, a.left+time.Duration(n)*a.each-took)
}

// refill makes the allowance full: there is processor to spare.
func (a *allowance) refill() { a.left = a.most() }

// measure takes into the mean that n refusals took so long.
func (a *allowance) measure(n int, took time.Duration, now time.Time) {
	if n == 0 {
		return
	}
	a.advance(now)
	seen := max(leastRefusal, took/time.Duration(n))
	weight := float64(n) / float64(n+refusalsMeasured)
	a.each += time.Duration(weight * float64(seen-a.each))
}
