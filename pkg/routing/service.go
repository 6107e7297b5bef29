package routing

import "time"

// Service is a set of upstreams that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one upstream accepts in total.
	MaxConns int
	// Warmup is how long an upstream is cold after its start, ColdPerSecond the number of requests
	// a second that it accepts meanwhile; 0 for no limit.
	Warmup        time.Duration
	ColdPerSecond float64
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCapacity is the size of an engine's KV cache, in tokens.
	KVCapacity int
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
	// KVTokenBytes is the size of a token in the KV cache, in bytes, and LinkBitsPerSecond the speed
	// at which engines copy cached tokens from each other; 0 where they can't.
	KVTokenBytes      float64
	LinkBitsPerSecond float64
}
