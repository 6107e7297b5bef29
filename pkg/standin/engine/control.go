package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

// journalAnswer is the journal with the orders that the engine received.
type journalAnswer struct {
	journal.Report
	Orders []ReceivedOrder `json:"orders,omitempty"`
	// OrdersHeld counts the orders held so far, Looks the reads of the state.
	OrdersHeld int    `json:"ordersHeld,omitempty"`
	Looks      uint64 `json:"looks,omitempty"`
}

func (e *Engine) getJournal(w http.ResponseWriter, _ *http.Request) {
	report := e.Journal()
	e.mu.Lock()
	answer := journalAnswer{
		Report: report, Orders: slices.Clone(e.orders.received),
		OrdersHeld: e.orders.held, Looks: e.orders.looks,
	}
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, answer)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.orders.looks++
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, e.state())
}

func (e *Engine) state() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.state
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !reply.Decode(w, r, &order) {
		return
	}
	e.holdOrder(order)
	if err := e.openWeights(r, order); err != nil {
		reply.Error(w, http.StatusServiceUnavailable, "weight store: "+err.Error())
		return
	}
	if !e.applyOrder(order) {
		reply.Error(w, http.StatusPreconditionFailed, "old fencing number")
		return
	}
	reply.JSON(w, http.StatusOK, e.state())
}

// holdOrder returns when no switch holds the order any more.
func (e *Engine) holdOrder(order Order) {
	for counted := false; ; counted = true {
		e.mu.Lock()
		held, changed := e.faults.HoldOrders != "" && e.faults.HoldOrders == order.Model, e.faultsSet
		if held && !counted {
			e.orders.held++
		}
		e.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

// openWeights asks the weight store when the order needs a load and will be taken.
func (e *Engine) openWeights(r *http.Request, order Order) error {
	e.mu.Lock()
	needed := !e.orders.isOld(order) && !e.orders.isLoaded(order)
	e.mu.Unlock()
	if !needed || e.options.Weights == nil {
		return nil
	}
	return e.options.Weights.Open(r.Context(), order.weightName())
}

func (e *Engine) applyOrder(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.apply(order, time.Now())
}

func (o Order) weightName() string { return o.Model + "/" + o.Adapter + "@" + o.Revision }

// exportKV answers with the cached prefix of an attempt's prompt as an opaque blob.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, known := e.attempts[mux.Vars(r)["attempt"]]
	var blob []byte
	if known {
		blob = exportBlocks(a.blocks[:e.cache.hit(a.blocks)])
	}
	e.mu.Unlock()
	if !known {
		reply.Error(w, http.StatusNotFound, "no such attempt")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(blob) // a caller that went away is no fault here
}

// importKV caches the blocks of such a blob.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	blob, err := reply.Body(w, r)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	blocks, ok := importBlocks(blob)
	if !ok {
		reply.Error(w, http.StatusBadRequest, "not an exported cache")
		return
	}
	e.mu.Lock()
	e.cache.store(blocks)
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, struct{}{})
}
