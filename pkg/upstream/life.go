package upstream

import "fmt"

// Life is one run of an upstream's process. An upstream may start again under its ID; it then
// keeps no prompt, runs no request and has failed nobody, so whatever is believed of an
// upstream belongs to a life and not to an ID.
//
// Lives of one ID have no order of their own: the host's time of day may jump back between
// two starts. Which one is the present life follows from the list of instances alone.
type Life struct {
	ID ID
	// Start tells the lives of one ID apart: the last 32 bits of the Unix millisecond of the
	// start, as routers tell each other lives several times a second and each byte counts.
	// Two starts have the same ones if they are a multiple of 49.7 days apart to the
	// millisecond.
	Start uint32
}

// String names the life for logs.
func (l Life) String() string { return fmt.Sprintf("%s/%08x", l.ID, l.Start) }

// Life gives the run of the upstream's process that in describes.
func (in *Instance) Life() Life { return Life{ID: in.ID, Start: uint32(in.Born)} }
