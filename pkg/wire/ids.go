// Package wire holds the messages between routers and their codec.
//
// Messages are CBOR with integer keys. All that waits for one peer goes out as
// one Frame; the transport in pkg/peer decides when. Times on the wire are
// durations in milliseconds: no decision compares the clocks of two hosts.
package wire

// RouterID names a router process's place: stable over restarts.
type RouterID string

// Incarnation orders the lives of one RouterID; a restart takes a higher one.
type Incarnation uint64

// CellID names a group of upstreams that one router keeps, "pool/0".
type CellID string

// ClaimID is unique within one (RouterID, Incarnation).
type ClaimID uint64

// Class orders requests inside one organisation's share; it buys nothing against others.
type Class uint8

// Classes from the most to the least urgent.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
)

// Units is weighted service in tokens, the unit of fairness. Plain services charge
// a configured number of units a call.
type Units = float64
