package connlimit

import "time"

const (
	// patience is how long a connection may be unfinished or idle before it has to make room: callers send right after
	// connecting, and a lost packet is retransmitted within this time.
	patience = 500 * time.Millisecond
	// maxWriteStall is how long a caller may take none of what is written to it.
	maxWriteStall = 30 * time.Second
)

// Limits bound the connections of a Group; 0 stands for no limit.
type Limits struct {
	// Open is the number of connections, Unfinished that of connections whose request hasn't been read to its end.
	Open, Unfinished int
}
