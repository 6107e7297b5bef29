package routing

// Config is a declared configuration, whole.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
