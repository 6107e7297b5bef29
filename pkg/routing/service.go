package routing

// Service is a set of upstreams that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one upstream takes from all its callers.
	MaxConns int
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVCapacity is an engine's memory, in tokens.
	KVCapacity int
	// EventTokens is the number of tokens that an event of a stream holds.
	EventTokens int
}
