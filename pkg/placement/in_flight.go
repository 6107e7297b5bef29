package placement

import "github.com/flamingowind/flamingowind/pkg/upstream"

// Entry is one request in flight that a Ledger counts until End.
type Entry struct {
	ledger        *Ledger
	life          upstream.Life
	prefillTokens int
	kvTokens      int
	// pauseWeight and longPrompts are what it adds to the load.
	pauseWeight, longPrompts int
	ended                    bool
}

// Read records that the prompt has been prefilled: its first event has arrived.
func (e *Entry) Read() {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	e.markPrefilled()
}

func (e *Entry) markPrefilled() {
	if load := e.ledger.own[e.life]; load != nil {
		load.Unread -= e.prefillTokens
		load.Long -= e.longPrompts
	}
	e.prefillTokens, e.longPrompts = 0, 0
}

// Spoil records that the stream is late already: a further pause does it no harm.
func (e *Entry) Spoil() {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	e.markLate()
}

func (e *Entry) markLate() {
	if load := e.ledger.own[e.life]; load != nil {
		load.Fragile -= e.pauseWeight
	}
	e.pauseWeight = 0
}

// End removes the request from the load. Only the first call has an effect.
func (e *Entry) End() {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.markPrefilled()
	e.markLate()
	load := e.ledger.own[e.life]
	load.Running--
	load.Memory -= e.kvTokens
	if load.Running == 0 {
		delete(e.ledger.own, e.life)
	}
}
