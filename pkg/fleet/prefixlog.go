package fleet

// prefixLogSize bounds the entries kept for routers that are behind. A router that is further
// behind misses the oldest ones, which costs a prefill of those prompts.
const prefixLogSize = 4096

// maxPrefixes bounds the entries in one report.
const maxPrefixes = 512

// prefixLog numbers its entries from 1 on.
type prefixLog struct {
	entries []CachedPrefix
	lastSeq uint64 // number of the newest entry
}

func (l *prefixLog) add(list []CachedPrefix) {
	l.entries = append(l.entries, list...)
	l.lastSeq += uint64(len(list))
	if over := len(l.entries) - prefixLogSize; over > 0 {
		l.entries = append(l.entries[:0], l.entries[over:]...)
	}
}

// after returns the entries that follow number seq, and the number of the last one returned.
func (l *prefixLog) after(seq uint64) ([]CachedPrefix, uint64) {
	first := l.lastSeq - uint64(len(l.entries)) // number before the oldest entry
	if seq < first {
		seq = first
	}
	if seq >= l.lastSeq {
		return nil, l.lastSeq
	}
	list := l.entries[seq-first:]
	if len(list) > maxPrefixes {
		list = list[:maxPrefixes]
	}
	return append([]CachedPrefix(nil), list...), seq + uint64(len(list))
}
