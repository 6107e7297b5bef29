package load

import (
	"fmt"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// maxFaults bounds the faults that an audit describes; all are counted.
const maxFaults = 20

// Audit is what callers and upstreams saw of a set of requests.
type Audit struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	// Unsent were refused connections, Excused broke with a fault that the experiment
	// itself brought about at their router.
	Unsent  int `json:"unsent"`
	Excused int `json:"excused"`
	// Lost requests were taken and never answered, nor broken off by an injected fault.
	Lost int `json:"lost"`
	// Doubled requests ran more than once.
	Doubled int `json:"doubled"`
	// Cut answers weren't whole, though no injected fault touched their router.
	Cut int `json:"cut"`
	// FalseRefusals said "not run" of a request that ran.
	FalseRefusals int `json:"false_refusals"`
	// Codes counts refusals by code.
	Codes map[string]int `json:"codes,omitempty"`
	// Faults describes the first of what is wrong.
	Faults []string `json:"faults,omitempty"`
}

// Excuse reports whether an injected fault at the result's router explains a
// connection that broke.
type Excuse func(Result) bool

// NoExcuse is for runs without injected faults.
func NoExcuse(Result) bool { return false }

// Check joins results with the upstreams' journals.
func Check(results []Result, attempts []Attempt, excuse Excuse) Audit {
	a := Audit{Sent: len(results), Codes: make(map[string]int)}
	runs := make(map[string]int, len(attempts))
	for _, t := range attempts {
		runs[t.runKey()]++
	}
	for _, r := range results {
		a.count(r, excuse)
		a.checkRuns(r, runs[r.Marker]+runs[r.contentKey()])
	}
	return a
}

// Clean reports whether nothing was lost, doubled or cut and no refusal was false.
func (a Audit) Clean() bool { return a.Lost+a.Doubled+a.Cut+a.FalseRefusals == 0 }

func (a *Audit) count(r Result, excuse Excuse) {
	switch r.Outcome {
	case Whole:
		a.Whole++
	case Refused:
		a.Refused++
		a.Codes[r.Code]++
	case Unsent:
		a.Unsent++
	case Cut:
		a.Cut++ // a clean end is never excused: a caller would take it for the whole answer
		a.fault("cut", r)
	case Broken:
		a.countBroken(r, excuse, &a.Cut, "cut")
	default:
		a.countBroken(r, excuse, &a.Lost, "lost")
	}
}

func (a *Audit) countBroken(r Result, excuse Excuse, counter *int, name string) {
	if excuse(r) {
		a.Excused++
		return
	}
	*counter++
	a.fault(name, r)
}

// checkRuns holds what the caller was told against how often the request ran.
func (a *Audit) checkRuns(r Result, runs int) {
	if runs > 1 {
		a.Doubled++
		a.fault(fmt.Sprintf("ran %d times", runs), r)
	}
	if runs == 0 && r.Outcome == Whole {
		a.Cut++ // an answer that no upstream gave
		a.fault("answered without a run", r)
	}
	if runs > 0 && r.Outcome == Refused && r.Verdict == verdict.NotRun {
		a.FalseRefusals++
		a.fault("refused as not run, and ran", r)
	}
}

func (a *Audit) fault(what string, r Result) {
	if len(a.Faults) < maxFaults {
		a.Faults = append(a.Faults, fmt.Sprintf("%s: %s of %s at %s: %s", what, r.Marker, r.Org.Name, r.Entry, r.Fault))
	}
}
