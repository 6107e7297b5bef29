package peer

// queue holds the messages that wait for one peer, oldest first.
type queue struct {
	limit    int
	messages []Message
}

// push adds m and returns the number of messages dropped for it.
//
// Guard: a peer that is paused or cut off takes nothing, and its messages would
// grow without bound in this router. The oldest message goes: all protocol messages
// are idempotent and sent again by their owners, and of two copies the newer one
// says more.
func (q *queue) push(m Message) (dropped int) {
	if len(q.messages) >= q.limit {
		q.messages[0] = nil
		q.messages = q.messages[1:]
		dropped = 1
	}
	q.messages = append(q.messages, m)
	return dropped
}

// take removes and returns up to most messages.
func (q *queue) take(most int) []Message {
	n := min(most, len(q.messages))
	taken := q.messages[:n:n]
	q.messages = q.messages[n:]
	if len(q.messages) == 0 {
		q.messages = nil
	}
	return taken
}

func (q *queue) len() int { return len(q.messages) }
