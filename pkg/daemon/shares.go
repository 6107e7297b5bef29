package daemon

import (
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/once"
	"github.com/flamingowind/flamingowind/pkg/order"
)

// What the whole fleet may write to the table a second. The platform takes several
// hundred; operators' changes and its other users need the rest.
const (
	recordTxns  = 200.0
	orderGrants = 20.0
)

// shares divides the fleet's writes to the table among the routers alive.
type shares struct {
	members *member.Duty
	book    *once.Book
	orders  *order.Reconciler
}

func (s shares) set() {
	alive, _ := s.members.View().Reachable()
	n := float64(max(alive, 1))
	s.book.SetRate(recordTxns / n)
	s.orders.SetRate(orderGrants / n)
}
