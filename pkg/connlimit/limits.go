package connlimit

import "time"

const (
	// patience is how long a connection may be unfinished or idle before it has to make room: callers send right after
	// connecting, and a lost packet is retransmitted within this time.
	patience = 500 * time.Millisecond
	// maxWriteStall is how long a caller may take none of what is written to it.
	maxWriteStall = 30 * time.Second
)

// Cost of a request's head in memory, in bytes.
const (
	// headCopies is how many copies of a head's bytes are held: the server's and the ones sent to an upstream.
	headCopies = 2
	// lineCost is the cost of a line beside its bytes, as an entry of the server's map and of the one for the upstream.
	lineCost = 192
	// freeHead is what each head may cost without being counted. It fits usual heads, which are therefore read while others have
	// used up the memory for heads.
	freeHead = 4 << 10
)

// Limits bound the connections of a Group; 0 stands for no limit.
type Limits struct {
	// Open is the number of connections, Unfinished that of connections whose request hasn't been read to its end.
	Open, Unfinished int
}
