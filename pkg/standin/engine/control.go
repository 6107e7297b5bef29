package engine

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

// journalAnswer is the journal with the orders that the engine received.
type journalAnswer struct {
	journal.Report
	Orders []ReceivedOrder `json:"orders,omitempty"`
}

func (e *Engine) getJournal(w http.ResponseWriter, _ *http.Request) {
	report := e.Journal()
	e.mu.Lock()
	received := append([]ReceivedOrder(nil), e.orders.received...)
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, journalAnswer{report, received})
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
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
