package routing

import "time"

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// TokensPerSecond is what all engines together do: a token read counts once, one
	// generated twice.
	TokensPerSecond float64
}
