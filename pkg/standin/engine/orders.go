package engine

import (
	"cmp"
	"time"
)

// maxOrders bounds the kept orders.
const maxOrders = 4096

// Order tells an engine what to load and which role to take.
type Order struct {
	Fence    uint64 `json:"fence"`
	ID       string `json:"id"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Revision string `json:"revision,omitempty"`
	Role     string `json:"role,omitempty"`
}

// ReceivedOrder is an order in the journal.
type ReceivedOrder struct {
	Order
	At time.Time `json:"at"`
	// Applied is false when the engine refused the order.
	Applied bool `json:"applied"`
}

// State is what an engine has loaded: the answer of GET /v1/state.
type State struct {
	Name     string `json:"name"`
	Fence    uint64 `json:"fence"`
	OrderID  string `json:"id"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Revision string `json:"revision"`
	Role     string `json:"role"`
}

// orders holds the engine's loaded state. The highest fencing number outlives a
// crash, what was loaded doesn't.
type orders struct {
	checksFence bool
	highest     uint64
	state       State
	received    []ReceivedOrder
	held        int
	looks       uint64
}

func (o *orders) isOld(order Order) bool { return o.checksFence && order.Fence < o.highest }

func (o *orders) isLoaded(order Order) bool {
	next := o.after(order)
	return o.state.Model == next.Model && o.state.Adapter == next.Adapter && o.state.Revision == next.Revision
}

// after returns the state that follows the order. What it leaves out stays.
func (o *orders) after(order Order) State {
	return State{
		Name: o.state.Name, Fence: order.Fence, OrderID: order.ID,
		Model:    cmp.Or(order.Model, o.state.Model),
		Adapter:  cmp.Or(order.Adapter, o.state.Adapter),
		Revision: cmp.Or(order.Revision, o.state.Revision),
		Role:     cmp.Or(order.Role, o.state.Role),
	}
}

// apply takes the order, or reports false when its fencing number is old.
func (o *orders) apply(order Order, now time.Time) bool {
	applied := !o.isOld(order)
	if len(o.received) < maxOrders {
		o.received = append(o.received, ReceivedOrder{order, now, applied})
	}
	if !applied {
		return false
	}
	o.highest = max(o.highest, order.Fence)
	o.state = o.after(order)
	return true
}

func (o *orders) crash() { o.state = State{Name: o.state.Name, Fence: o.highest} }
