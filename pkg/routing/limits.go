package routing

import "time"

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// TokensPerSecond is the capacity of all engines together: a prompt token counts once, a
	// generated one twice.
	TokensPerSecond float64
}
