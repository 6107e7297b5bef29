package peer

import "github.com/flamingowind/flamingowind/pkg/wire"

// linkFor gives the link of a peer and makes one when there is none; nil when the
// transport closes.
func (t *Transport) linkFor(peer wire.RouterID) *link {
	t.mu.Lock()
	if t.closing {
		t.mu.Unlock()
		return nil
	}
	if l, ok := t.links[peer]; ok {
		t.mu.Unlock()
		return l
	}
	var victim *link
	if len(t.links) >= t.opts.MaxPeers {
		victim = t.leastUsed()
		delete(t.links, victim.peer)
	}
	l := newLink(t, peer)
	t.links[peer] = l
	t.mu.Unlock()
	if victim != nil {
		victim.evict()
	}
	return l
}

// leastUsed gives the link that was used longest ago; the caller holds t.mu.
//
// Guard: each connection costs tens of kilobytes, so a fleet of hundreds in which each
// router once talks to each other one would eat the memory of all. The peer that was
// needed least lately is cut off and can be dialled again.
func (t *Transport) leastUsed() *link {
	var oldest *link
	for _, l := range t.links {
		if oldest == nil || l.usedBefore(oldest) {
			oldest = l
		}
	}
	return oldest
}

func (l *link) usedBefore(other *link) bool {
	l.mu.Lock()
	mine := l.lastUsed
	l.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	return mine.Before(other.lastUsed)
}

// evict drops the link's queue and closes its connection.
func (l *link) evict() {
	l.mu.Lock()
	c := l.conn
	l.conn = nil
	l.evicted = true
	l.t.counters.undelivered.Add(uint64(l.queue.len()))
	l.queue.messages = nil
	l.mu.Unlock()
	if c != nil {
		c.close(codeEvicted, "too many peers")
	}
}

func (t *Transport) linkIfAny(peer wire.RouterID) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[peer]
}

func (t *Transport) allLinks() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		list = append(list, l)
	}
	return list
}
