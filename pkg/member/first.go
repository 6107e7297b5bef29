package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// First gives the n routers that come first for key, in order; fewer when the fleet is
// smaller. Routers with the same view agree, so a duty that a few routers should do for
// all needs no agreement: a wrong view costs a doubled or a missed turn.
//
// The ranking is made anew for each place: the library's own Remove fails on the last
// name of its list.
func (v *View) First(key string, n int) []wire.RouterID {
	left := v.candidates()
	first := make([]wire.RouterID, 0, n)
	for len(left) > 0 && len(first) < n {
		name := rendezvous.New(left, xxhash.Sum64String).Lookup(key)
		left = slices.DeleteFunc(left, func(c string) bool { return c == name })
		first = append(first, wire.RouterID(name))
	}
	return first
}
