// Package verdict says whether a failed request may have run.
//
// Every error that ends a request carries a Verdict. The zero value is MayHaveRun, so that an
// unclassified error never claims too much.
package verdict

// Verdict says whether a request ran on an upstream.
type Verdict uint8

const (
	// MayHaveRun is the safe default: bytes of the request may have reached an upstream.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request can have reached an upstream, or that the upstream
	// said that it did not run the request.
	NotRun
	// Ran means that the upstream is known to have run the request.
	Ran
)

// Header is the response header that tells callers the verdict.
const Header = "Flamingowind-Verdict"

// String returns the form that headers, error bodies and logs use.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse is the inverse of String. Unknown forms become MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}
