package fleet

// readLogSize bounds the entries that are kept for routers that are behind; one that is
// further behind misses the oldest, which costs a prompt read again.
const readLogSize = 4096

// maxReads bounds the entries in one report.
const maxReads = 512

// readLog numbers this router's entries, from 1 on.
type readLog struct {
	entries []PromptRead
	last    uint64 // number of the newest entry
}

func (l *readLog) add(list []PromptRead) {
	l.entries = append(l.entries, list...)
	l.last += uint64(len(list))
	if over := len(l.entries) - readLogSize; over > 0 {
		l.entries = append(l.entries[:0], l.entries[over:]...)
	}
}

// after gives the entries that follow number have, and the number of the last given.
func (l *readLog) after(have uint64) ([]PromptRead, uint64) {
	first := l.last - uint64(len(l.entries)) // number before the oldest entry
	if have < first {
		have = first
	}
	if have >= l.last {
		return nil, l.last
	}
	list := l.entries[have-first:]
	if len(list) > maxReads {
		list = list[:maxReads]
	}
	return append([]PromptRead(nil), list...), have + uint64(len(list))
}
