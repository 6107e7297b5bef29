// Package claimant is the router's side of the fleet's fair order: it requests slots from
// the keepers.
//
// Requests wait here, in the router that accepted them. For each request the claimant
// sends a claim to the keeper of a cell, waits for the grant, and gives the caller a slot.
// It reports waiting claims, running slots and service counters to the keepers.
//
// The decisions are made by stateMachine, which has no clock, lock or goroutine. The event
// loop Claimant.Run owns it; callers and the transport reach the loop through bounded
// channels.
//
// Control traffic could be reduced further: while a cell isn't backlogged, its keeper could
// give a router with steady traffic a few grants in advance (standing grants), and single
// claims would start only with a backlog. This isn't implemented.
package claimant
