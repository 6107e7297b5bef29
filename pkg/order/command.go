// Package order brings model engines to their declared state: which model, adapter and
// revision they have loaded and in which role they serve.
//
// A declaration is compared with what the engine says of itself, and an order is sent
// only for the difference. One router at a time orders an engine: it holds a lease,
// a row of the table with a fencing number that grows with each grant. Engines that
// check the number refuse an order with an old one. docs/design/orders.md says what
// remains possible with engines that ignore it; spec/order.pml is the model.
package order

import "github.com/flamingowind/flamingowind/pkg/resource"

// Command is an order as an engine gets it. Empty fields are left as they are.
type Command struct {
	Fence    uint64 `json:"fence"`
	ID       string `json:"id"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Revision string `json:"revision,omitempty"`
	Role     string `json:"role,omitempty"`
}

// State is what an engine says of itself.
type State struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Revision string `json:"revision"`
	Role     string `json:"role"`
	// Fence is the highest fencing number it has accepted, 0 when it keeps none.
	Fence uint64 `json:"fence"`
}

// satisfies says whether the engine is as declared. What is not declared doesn't count.
func (s State) satisfies(o resource.Order) bool {
	return !s.needsWeights(o) && same(o.Role, s.Role)
}

// needsWeights says whether the engine must load files of the weight store.
func (s State) needsWeights(o resource.Order) bool {
	return !same(o.Model, s.Model) || !same(o.Adapter, s.Adapter) || !same(o.Revision, s.Revision)
}

func same(declared, actual string) bool { return declared == "" || declared == actual }

// weightName names the file to ask the weight store for.
func weightName(o resource.Order) string {
	name := o.Model
	if o.Adapter != "" {
		name += "+" + o.Adapter
	}
	if o.Revision != "" {
		name += "@" + o.Revision
	}
	return name
}
