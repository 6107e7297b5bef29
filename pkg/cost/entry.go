package cost

import "github.com/flamingowind/flamingowind/pkg/wire"

const (
	// gain is the weight of a new observation in the moving means.
	gain = 1.0 / 16
	// maxJump bounds an observation, in multiples of the learned mean. Costs are
	// heavy-tailed: unbounded, one rare giant would raise the charge of the next
	// dozens of requests; bounded, a lasting change is still learned within a few.
	maxJump = 8
	// spread bounds the factor by which a hint moves a prediction, either way.
	spread = 2
	// maxBalance bounds the saved overcharge, in multiples of the learned mean.
	maxBalance = 16
)

// entry is what was learned for one Key.
type entry struct {
	mean  wire.Units
	hints wire.Units // mean hint of the settled requests that gave one; 0 when none did
	// hinted is the mean cost of those requests.
	hinted wire.Units
	// balance is the overcharge that hints have caused so far and that later hints
	// may take back.
	balance wire.Units
}

func (e *entry) learn(cost, hint wire.Units) {
	cost = min(cost, maxJump*e.mean)
	e.mean += gain * (cost - e.mean)
	if hint <= 0 {
		return
	}
	if e.hints == 0 {
		e.hints, e.hinted = hint, cost
		return
	}
	e.hints += gain * (min(hint, maxJump*e.hints) - e.hints)
	e.hinted += gain * (cost - e.hinted)
}

// scaled turns a hint into units by what this organisation's hints turned out to
// mean, within the bounds.
func (e *entry) scaled(hint wire.Units) wire.Units {
	if e.hints == 0 {
		return e.mean
	}
	return min(max(hint/e.hints*e.hinted, e.mean/spread), e.mean*spread)
}
