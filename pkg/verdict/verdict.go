// Package verdict says, for each failed request, whether it may have run.
//
// Every error that ends a request carries a Verdict. The zero value is
// MayHaveRun, so an error that nobody classified never claims too much.
package verdict

// Verdict says whether a request ran on an upstream.
type Verdict uint8

const (
	// MayHaveRun is the safe default: bytes of the request may have reached an upstream.
	MayHaveRun Verdict = iota
	// NotRun holds only when no byte of the request can have reached an upstream.
	NotRun
	// Ran holds when the upstream is known to have run the request.
	Ran
)

// Header is the response header that carries the verdict to callers.
const Header = "Flamingowind-Verdict"

// String returns the form used in headers, error bodies and logs.
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

// Parse reads the form that String writes. Anything unknown is MayHaveRun.
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
