package fleet

import "time"

// missing holds since when routers on the list are missed, by address.
type missing map[string]time.Time

// since gives the routers of list that have been missed since before.
func (m missing) since(list []Member, alive func(addr string) bool, before, now time.Time) []Member {
	listed := make(map[string]bool, len(list))
	var gone []Member
	for _, one := range list {
		listed[one.Peers] = true
		if alive(one.Peers) {
			delete(m, one.Peers)
			continue
		}
		if m[one.Peers].IsZero() {
			m[one.Peers] = now
		}
		if !m[one.Peers].After(before) {
			gone = append(gone, one)
		}
	}
	for addr := range m {
		if !listed[addr] {
			delete(m, addr)
		}
	}
	return gone
}
