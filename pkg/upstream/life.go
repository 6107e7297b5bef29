package upstream

import "fmt"

// Life is one run of an upstream's process, from its start to its end. An upstream may restart
// under its ID with an empty cache, no running requests and no failures, so state about an upstream
// is kept for each life rather than for each ID.
//
// Lives of one ID have no order of their own, as the wall clock of the host may jump back between
// two starts. Only the instance list says which life is the current one.
type Life struct {
	ID ID
	// Start distinguishes the lives of one ID: the low 32 bits of the start time in Unix
	// milliseconds. Routers exchange lives several times a second, so each byte counts. Two starts
	// collide only if they are an exact multiple of 2^32 ms (49.7 days) apart.
	Start uint32
}

// String formats the life for logs.
func (l Life) String() string { return fmt.Sprintf("%s/%08x", l.ID, l.Start) }

// Life returns the run of the upstream's process that in describes.
func (in *Instance) Life() Life { return Life{ID: in.ID, Start: uint32(in.Born)} }
