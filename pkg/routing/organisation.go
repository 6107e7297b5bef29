package routing

// Organisation is one of those who share the capacity.
type Organisation struct {
	Name string
	Keys []string
	// Rank goes before a route's rank when set.
	Rank *int
}
