package affinity

import "slices"

// maxBacklog bounds the records that wait to be written to the store; one call takes all of them.
const maxBacklog = 8 * MaxBatch

// outbox holds the records that wait to be written to the store.
type outbox struct {
	// keeping holds the versions whose records are written; it is empty at routers that write none.
	keeping map[VersionID]bool
	// pending are the records that wait, the oldest first, lost the number of those that were dropped for newer ones.
	pending []Record
	lost    int64
}

// add adds a record if it is to be written, and reports whether it is.
func (o *outbox) add(r Record) bool {
	if !o.keeping[r.Version] {
		return false
	}
	o.pending = append(o.pending, r)
	o.trim(maxBacklog / 8)
	return true
}

// prepend puts records before those that wait.
func (o *outbox) prepend(list []Record) {
	o.pending = slices.Concat(list, o.pending)
	o.trim(0)
}

// trim drops the oldest records: the streams that began last have the longest time left. It spares an excess of
// up to slack, so that not each record moves all others.
func (o *outbox) trim(slack int) {
	if over := len(o.pending) - maxBacklog; over > slack {
		o.pending = slices.Delete(o.pending, 0, over)
		o.lost += int64(over)
	}
}
