package routing

// Config is a complete declared configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
