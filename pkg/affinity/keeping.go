package affinity

import "time"

const (
	// registerWriters is the number of routers that confirm the register: one may be cut off from the store.
	registerWriters = 2
	// registerTurn is the time between the turns of two routers that read or write the register, maxRegisterTurn
	// the longest time that one waits for its turn.
	registerTurn    = 40 * time.Millisecond
	maxRegisterTurn = 2 * time.Second
)

// RequireRegister makes streams begin only at versions that the store's register has, see Register.
func (t *Tracker) RequireRegister() {
	t.history.mu.Lock()
	defer t.history.mu.Unlock()
	t.history.register.required, t.history.register.unread = true, true
}

// Registering is signalled when a version waits to be registered.
func (t *Tracker) Registering() <-chan struct{} { return t.history.waiting }

// RegisterDuty returns what a router of this rank in the fleet has to do about the register.
func (t *Tracker) RegisterDuty(rank int, now time.Time) RegisterDuty {
	t.learnLife()
	t.forgetAfterSuspension(now)
	turn := min(time.Duration(rank)*registerTurn, maxRegisterTurn)
	renewal := time.Duration(0)
	if rank < registerWriters {
		renewal = registerRenewal + time.Duration(rank)*registerRenewal/2
	}
	return t.history.registerDuty(turn, renewal, t.confirms(now), now)
}

// confirms reports whether all versions are known, and all routers register theirs.
func (t *Tracker) confirms(now time.Time) bool {
	return t.certain(now, t.wake.since(now)) && t.view.Peers(now).Register
}

// forgetAfterSuspension forgets what the register was known to have before the host was suspended: the time for
// which it has it is over by now.
func (t *Tracker) forgetAfterSuspension(now time.Time) {
	woke := t.wake.since(now)
	t.history.mu.Lock()
	defer t.history.mu.Unlock()
	if woke.After(t.history.register.readAt) {
		t.history.forgetRegister()
	}
}

// TakeRegister takes over the register as read, or as written with the reading before.
func (t *Tracker) TakeRegister(reg *Register, rd Reading, now time.Time) {
	t.history.takeRegister(reg, rd, now)
}

// NextRegister returns the register to write after the last one, which rd read.
func (t *Tracker) NextRegister(last *Register, rd Reading, now time.Time) Register {
	return t.history.nextRegister(last, rd, t.confirms(now) && !t.wake.since(now).After(rd.Sent), now)
}

// NoteEra records the era of the store's newest answer.
func (t *Tracker) NoteEra(era int64, now time.Time) {
	t.history.mu.Lock()
	defer t.history.mu.Unlock()
	t.history.noteEra(era, now)
}

// RegisterTried records that a call for the register has ended, whether or not it succeeded.
func (t *Tracker) RegisterTried() {
	t.history.mu.Lock()
	defer t.history.mu.Unlock()
	t.history.register.tried = true
}

// Settled reports whether a router that has just started need not wait for the register and the records in the
// store any more.
func (t *Tracker) Settled() bool {
	records, register := t.Awaited()
	return !records && !register
}

// Awaited reports what such a router still waits for.
func (t *Tracker) Awaited() (records, register bool) {
	records = !t.recordsTried()
	if t.history.closed.Load() == 0 {
		return records, false
	}
	t.history.mu.Lock()
	defer t.history.mu.Unlock()
	return records, t.history.register.required && !t.history.register.tried
}
