package fleet

import "time"

// missingRouters holds since when routers on the list have been missing, by address.
type missingRouters map[string]time.Time

// missingSince returns the routers of list that have been missing since cutoff or longer.
func (m missingRouters) missingSince(list []Member, alive func(addr string) bool, cutoff, now time.Time) []Member {
	onList := make(map[string]bool, len(list))
	var gone []Member
	for _, member := range list {
		onList[member.Peers] = true
		if alive(member.Peers) {
			delete(m, member.Peers)
			continue
		}
		if m[member.Peers].IsZero() {
			m[member.Peers] = now
		}
		if !m[member.Peers].After(cutoff) {
			gone = append(gone, member)
		}
	}
	for addr := range m {
		if !onList[addr] {
			delete(m, addr)
		}
	}
	return gone
}
