package placement

import "github.com/flamingowind/flamingowind/pkg/upstream"

// Entry is one piece of work in a Ledger, until End.
type Entry struct {
	ledger *Ledger
	life   upstream.Life
	unread int
	memory int
	// fragile and long are what the load counts of it.
	fragile, long int
	ended         bool
}

// Read notes that the prompt has been read: the first event is there.
func (e *Entry) Read() {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	e.read()
}

func (e *Entry) read() {
	if load := e.ledger.own[e.life]; load != nil {
		load.Unread -= e.unread
		load.Long -= e.long
	}
	e.unread, e.long = 0, 0
}

// Spoil notes that the stream is late: a further pause does it no harm.
func (e *Entry) Spoil() {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	e.spoil()
}

func (e *Entry) spoil() {
	if load := e.ledger.own[e.life]; load != nil {
		load.Fragile -= e.fragile
	}
	e.fragile = 0
}

// End takes the work out of the ledger; only the first call counts.
func (e *Entry) End() {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.read()
	e.spoil()
	load := e.ledger.own[e.life]
	load.Running--
	load.Memory -= e.memory
	if load.Running == 0 {
		delete(e.ledger.own, e.life)
	}
}
