package member

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// pings makes this heartbeat's pings to targets, and to helpers when a target is silent.
func (r *Roster) pings(now time.Time, l local, targets []wire.RouterID) []outgoing {
	asks := make(map[wire.RouterID][]wire.RouterID)
	for _, silent := range r.overdue(now, targets) {
		for _, helper := range r.helpers(silent) {
			asks[helper] = append(asks[helper], silent)
		}
	}
	var out []outgoing
	var skipped []wire.RouterID
	news := r.gossiping()
	for _, id := range targets {
		if asks[id] == nil && r.maySkip(now, r.entries[id], news) {
			skipped = append(skipped, id)
			continue
		}
		out = append(out, r.pingTo(now, l, id, asks[id]))
		delete(asks, id)
	}
	if len(out) == 0 && len(skipped) > 0 && r.staleConfirm(l) {
		out = append(out, r.pingTo(now, l, skipped[r.rng.IntN(len(skipped))], nil))
	}
	for _, id := range slices.Sorted(maps.Keys(asks)) {
		out = append(out, r.pingTo(now, l, id, asks[id]))
	}
	return out
}

func (r *Roster) pingTo(now time.Time, l local, id wire.RouterID, ask []wire.RouterID) outgoing {
	p := r.newPing(now, l, id)
	p.Ask = ask
	return outgoing{to: id, ping: p}
}

// newPing makes a ping to the router id, or to an unknown one when id is empty.
func (r *Roster) newPing(now time.Time, l local, id wire.RouterID) wire.Ping {
	r.nonce++
	r.sent[r.nonce] = sentPing{to: id, at: now, selfSeq: r.selfSeq}
	return wire.Ping{
		Nonce:   r.nonce,
		Members: r.gossipFor(r.entries[id]),
		Version: l.version,
		Digest:  r.digest(),
	}
}

// forgetPings drops pings whose answer would come too late to mean anything.
func (r *Roster) forgetPings(now time.Time) {
	for nonce, p := range r.sent {
		if now.Sub(p.at) > r.opts.DeadAfter {
			delete(r.sent, nonce)
		}
	}
}

// Ping takes a peer's ping and gives the answer.
func (r *Roster) Ping(now time.Time, l local, from wire.RouterID, p wire.Ping) wire.Pong {
	r.setVersion(l.version)
	known := r.entries[from] != nil
	r.merge(now, from, p.Members)
	e := r.entries[from]
	if e != nil {
		first := !known || e.heard.IsZero()
		r.hear(e, now, p.Version)
		e.pinged = now
		r.compareDigest(e, p.Digest, first)
	}
	return wire.Pong{
		Nonce:       p.Nonce,
		Members:     r.gossipFor(e),
		Version:     l.version,
		ConfirmedMs: l.confirmedMs,
		Confirmed:   l.confirmed,
		Marks:       l.marks,
		Digest:      r.digest(),
		Heard:       r.heardOf(now, p.Ask),
	}
}

// Pong takes a peer's answer; ok says that it answers a ping and confirms a version.
func (r *Roster) Pong(now time.Time, from wire.RouterID, p wire.Pong) (c confirmation, ok bool) {
	ping, expected := r.sent[p.Nonce]
	if !expected || (ping.to != "" && ping.to != from) {
		return c, false
	}
	delete(r.sent, p.Nonce)
	known := r.entries[from] != nil
	r.merge(now, from, p.Members)
	r.vouch(ping.at, p.Heard)
	if e := r.entries[from]; e != nil {
		first := !known || e.heard.IsZero()
		// The peer lived at some time after the ping went out; the answer may have
		// waited in this router's own socket since.
		r.hear(e, ping.at, p.Version)
		e.acked = max(e.acked, ping.selfSeq)
		r.compareDigest(e, p.Digest, first)
	}
	if !p.Confirmed {
		return c, false
	}
	age := time.Duration(p.ConfirmedMs) * time.Millisecond
	return confirmation{at: ping.at.Add(-age), version: p.Version}, true
}

func (r *Roster) hear(e *entry, at time.Time, version uint64) {
	if at.After(e.heard) {
		e.heard = at
	}
	if version > e.Version {
		e.Version = version
		r.changed = true
	}
}

// heardOf answers which of the asked members this router heard directly.
func (r *Roster) heardOf(now time.Time, ask []wire.RouterID) []wire.Heard {
	var list []wire.Heard
	for _, id := range ask[:min(len(ask), maxGossip)] {
		if e := r.entries[id]; e != nil && r.heardLately(now, e) {
			list = append(list, wire.Heard{ID: id, AgeMs: age(now, e.heard)})
		}
	}
	return list
}

// vouch notes what a peer heard. Its ages count from when this router sent the
// question, so they never come out later than the truth.
func (r *Roster) vouch(asked time.Time, heard []wire.Heard) {
	for _, h := range heard {
		e := r.entries[h.ID]
		if e == nil {
			continue
		}
		at := asked.Add(-time.Duration(h.AgeMs) * time.Millisecond)
		if at.After(e.vouched) {
			e.vouched = at
		}
	}
}
