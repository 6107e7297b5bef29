package placement

import "github.com/flamingowind/flamingowind/pkg/upstream"

// Entry is one piece of work in a Ledger, until End.
type Entry struct {
	ledger *Ledger
	life   upstream.Life
	unread int
	memory int
	ended  bool
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
	}
	e.unread = 0
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
	load := e.ledger.own[e.life]
	load.Running--
	load.Memory -= e.memory
	if load.Running == 0 {
		delete(e.ledger.own, e.life)
	}
}
