package cost

import "github.com/flamingowind/flamingowind/pkg/wire"

// Key names the requests whose costs are learned together.
type Key struct {
	Org   string
	Class wire.Class
	Pool  string
}

// pool returns the key under which all of a pool's costs are learned. No
// organisation has the empty name.
func (k Key) pool() Key { return Key{Pool: k.Pool} }
