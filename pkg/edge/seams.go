package edge

import "time"

// Gate says whether this router may accept requests: its configuration is confirmed
// and it isn't leaving. The error is a *verdict.Error with verdict NotRun.
type Gate interface {
	Admit() error
}

// Entries gives addresses worth using and how long to keep them; org and model may be empty.
type Entries interface {
	For(org, model string) (addrs []string, keep time.Duration)
}

// Suspects contains requests that crash upstreams.
type Suspects interface {
	// Check returns a *verdict.Error with verdict NotRun when content must not run.
	Check(content uint64) error
	// Crashed tells that contents were running on upstream when it crashed.
	Crashed(upstream string, contents ...uint64)
	// Served tells that content ran to its end.
	Served(content uint64)
}
