package handover

// OpenConns returns the number of connections that are being relayed.
func (r *Relay) OpenConns() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for fd, p := range r.pairs {
		if int(fd) == p.caller {
			n++
		}
	}
	return n
}

// Counts returns how many connections were accepted so far, and how many of them no router accepted.
func (r *Relay) Counts() (accepted, failed int64) { return r.accepted.Load(), r.failed.Load() }

// maxPairsFor returns the maximum number of connections on a host with the given number of cores; 0
// means unknown.
func maxPairsFor(cores float64) int {
	if cores <= 0 {
		return maxPairs
	}
	return min(maxPairs, int(pairsPerCore*cores))
}
