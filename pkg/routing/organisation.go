package routing

// Organisation holds API keys and shares the fleet's capacity with other organisations.
type Organisation struct {
	Name string
	Keys []string
	// Rank overrides a route's rank when set.
	Rank *int
}
