// Package claimant is the router's side of the fleet's fair order.
//
// Requests wait here, in the router that accepted them. For each the claimant sends
// a claim to the keeper of a cell, waits for the grant, and hands the caller a slot;
// it reports waiting claims, running slots and service counters to the keepers.
//
// The decisions are in machine, which has no clock, lock or goroutine. One duty,
// Claimant.Run, owns it; callers and the transport reach the duty by bounded channels.
//
// A later lever for control bytes: while a cell isn't backlogged, its keeper could let
// a router with steady traffic hold a few grants in advance (standing grants), and
// claims one by one would start with backlog. It isn't built.
package claimant
