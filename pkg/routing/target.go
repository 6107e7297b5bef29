package routing

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}
