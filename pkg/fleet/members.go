package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// digest returns a hash of a list of routers, their lives, states and configuration versions; the
// order of the list does not matter.
func digest(list []MemberState) uint64 {
	var sum uint64
	for _, e := range list {
		var state [17]byte
		binary.LittleEndian.PutUint64(state[:], uint64(e.Member.Started))
		if e.Ready {
			state[8] |= 1
		}
		if e.CPUStarved {
			state[8] |= 2
		}
		binary.LittleEndian.PutUint64(state[9:], uint64(e.Config))
		h := xxhash.New()
		_, _ = h.WriteString(e.Member.Peers) // never fails
		_, _ = h.Write(state[:])
		sum += h.Sum64()
	}
	return sum
}

// mergeMembers applies the member list of hub p: every router on it is alive.
func (f *Fleet) mergeMembers(p *peer, r *Report, now time.Time) {
	if r.Digest == 0 {
		return
	}
	if r.Digest != p.digest && len(r.Members) == 0 {
		return // the list was lost; the hub sends it again, as our digest differs
	}
	validFor := groupTimeout
	if f.isIdle(now) {
		validFor += memberIdleInterval
	}
	isNew := len(r.Members) > 0
	if isNew {
		p.members, p.digest = r.Members, r.Digest
	}
	for _, e := range p.members {
		m := f.addMember(e.Member)
		if m == nil || m == p {
			continue
		}
		// A router that reports to p now is no longer in this router's group. Until its last
		// report here expired, its work would be counted twice.
		if isNew && r.Scope == ScopeGroup && now.Sub(m.joinedAt) > max(memberInterval, m.reportInterval) {
			m.joinedAt = now.Add(-groupTimeout - m.reportInterval)
		}
		m.listedAt, m.listedFor = now, validFor
		if !m.reportedRecently(now) {
			m.ready, m.starved, m.config = e.Ready, e.CPUStarved, e.Config
		}
	}
}
