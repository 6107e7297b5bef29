package peer

import "github.com/flamingowind/flamingowind/pkg/wire"

// writeBatch sends a batch as one frame, on a second connection when the first breaks.
//
// Guard: a connection may have died unseen, or lost against a simultaneous one. The
// peer may then get a frame twice, which idempotent messages allow; without the second
// try a whole coalesced frame would be lost at every reconnect.
func (l *link) writeBatch(c *conn, batch []Message) {
	frame, err := encodeBatch(batch)
	if err != nil {
		l.split(c, batch, err)
		return
	}
	if l.writeFrame(c, frame) {
		return
	}
	if second := l.connect(); second != nil && second != c && l.writeFrame(second, frame) {
		return
	}
	l.t.counters.undelivered.Add(uint64(len(batch)))
}

func encodeBatch(batch []Message) ([]byte, error) {
	f := new(wire.Frame)
	for _, m := range batch {
		m(f)
	}
	return appendFrame(nil, f)
}

// split sends a batch that is too large for one frame in halves. A single message that
// is too large is dropped.
func (l *link) split(c *conn, batch []Message, err error) {
	if len(batch) == 1 {
		l.t.opts.Log.WithError(err).WithField("peer", l.peer).Error("message can't be sent")
		l.t.counters.undelivered.Add(1)
		return
	}
	half := len(batch) / 2
	l.writeBatch(c, batch[:half])
	l.writeBatch(c, batch[half:])
}

func (l *link) writeFrame(c *conn, frame []byte) bool {
	if err := c.write(frame, l.t.opts.WriteTimeout); err != nil {
		l.t.opts.Log.WithError(err).WithField("peer", l.peer).Debug("write to peer failed")
		c.close(codeProtocol, "write failed")
		return false
	}
	l.t.counters.framesSent.Add(1)
	return true
}
