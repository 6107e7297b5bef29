package ctl

import (
	"net/http"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
)

// Exit codes of flamingowindctl.
const (
	// ExitOK: done; for diff, no difference.
	ExitOK subcommands.ExitStatus = 0
	// ExitFailure: any other failure.
	ExitFailure subcommands.ExitStatus = 1
	// ExitUsage: wrong flags or arguments.
	ExitUsage subcommands.ExitStatus = 2
	// ExitInvalid: the declarations have faults; nothing was written.
	ExitInvalid subcommands.ExitStatus = 3
	// ExitConflict: another operator's write came first; nothing was written.
	ExitConflict subcommands.ExitStatus = 4
	// ExitNotAccepted: an outage, or no router answers; nothing was written.
	ExitNotAccepted subcommands.ExitStatus = 5
	// ExitUndecided: the answer was lost; run again with the printed -op.
	ExitUndecided subcommands.ExitStatus = 6
	// ExitDifferent: diff found differences.
	ExitDifferent subcommands.ExitStatus = 7
)

const exitHelp = `Exit codes:
  0  done (diff: no difference)
  1  any other failure
  2  wrong flags or arguments
  3  the declarations have faults, nothing was written
  4  another operator's write came first, nothing was written
  5  outage or no router answers, nothing was written
  6  the answer was lost: run again with the -op that is printed
  7  diff found differences
`

// errUnreachable: no router answered and nothing was written.
const errUnreachable = errors.ConstError("no router answers")

// errUsage: wrong flags or arguments.
const errUsage = errors.ConstError("usage")

func exitOf(err error) subcommands.ExitStatus {
	var f *operator.Failure
	var m *InvalidManifests
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &m):
		return ExitInvalid
	case errors.Is(err, errUnreachable):
		return ExitNotAccepted
	case errors.Is(err, errUndecided):
		return ExitUndecided
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &f):
		return exitOfStatus(f.Status)
	default:
		return ExitFailure
	}
}

func exitOfStatus(status int) subcommands.ExitStatus {
	switch status {
	case http.StatusUnprocessableEntity:
		return ExitInvalid
	case http.StatusConflict:
		return ExitConflict
	case http.StatusServiceUnavailable:
		return ExitNotAccepted
	case http.StatusGatewayTimeout:
		return ExitUndecided
	default:
		return ExitFailure
	}
}
