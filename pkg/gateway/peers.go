package gateway

// Peers tells how many routers share the work, this one included.
type Peers interface {
	Count() int
}
