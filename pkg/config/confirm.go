package config

import "time"

// confirmation says that version was known to be the newest at the time at.
type confirmation struct {
	version uint64
	at      time.Time
	// known is false before the first confirmation.
	known bool
}

// note keeps the highest version, and for one version the latest time.
func (c *confirmation) note(at time.Time, version uint64) {
	newer := !c.known || version > c.version
	if newer || (version == c.version && at.After(c.at)) {
		*c = confirmation{version: version, at: at, known: true}
	}
}

// Confirm notes that version was known to be the newest at the time at. For a read
// of the table, at is when the read was *sent*; for a peer's Pong it is when the Ping
// was sent, less the Pong's ConfirmedMs. Counted from the receipt, a router that was
// paused between would take an answer from before the pause for a fresh one.
// Confirming a newer version than the one in force takes effect with its adoption.
func (l *Live) Confirm(at time.Time, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A router that comes back with no state doesn't know what it had in force. A peer
	// that was cut off before the last change still passes on an older version, lately
	// confirmed, and a key that this router refused before its restart would open it.
	// What was the newest after the start can't be older than what was in force before.
	if !at.Before(l.opts.Started) {
		l.conf.note(at, version)
	}
	l.wakeIfBehind()
}

// Confirmed returns how long ago the version in force was last known to be the
// newest; ok is false when it never was, or when a newer one is known.
func (l *Live) Confirmed(now time.Time) (age time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed(now)
}

func (l *Live) confirmed(now time.Time) (time.Duration, bool) {
	c := l.cur.Load()
	if c == nil || !l.conf.known || l.conf.version != c.Snapshot.Version {
		return 0, false
	}
	return max(now.Sub(l.conf.at), 0), true
}

// TableRead notes the outcome of a read of the head row that was sent at sent.
func (l *Live) TableRead(sent time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.outage.failed(sent, l.fresh())
		return
	}
	l.outage.succeeded()
}
