package routing

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}
