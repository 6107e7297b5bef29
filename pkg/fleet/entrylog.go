package fleet

// logSize bounds the entries kept for routers that are behind. A router that is further behind misses
// the oldest ones: it then has some prompts prefilled again, or asks for the version of a stream.
const logSize = 4096

// maxEntries bounds the entries in one report.
const maxEntries = 512

// entryLog numbers its entries from 1 on.
type entryLog[T any] struct {
	entries []T
	lastSeq uint64 // number of the newest entry
}

func (l *entryLog[T]) add(list []T) {
	l.entries = append(l.entries, list...)
	l.lastSeq += uint64(len(list))
	if over := len(l.entries) - logSize; over > 0 {
		l.entries = append(l.entries[:0], l.entries[over:]...)
	}
}

// after returns the entries that follow number seq, and the number of the last one returned.
func (l *entryLog[T]) after(seq uint64) ([]T, uint64) {
	first := l.lastSeq - uint64(len(l.entries)) // number before the oldest entry
	if seq < first {
		seq = first
	}
	if seq >= l.lastSeq {
		return nil, l.lastSeq
	}
	list := l.entries[seq-first:]
	if len(list) > maxEntries {
		list = list[:maxEntries]
	}
	return append([]T(nil), list...), seq + uint64(len(list))
}
