// Package fleettest is the machinery of the failure tests: fleets of separate
// processes that end with their test, polling with deadlines, the operators' API, a
// watch over versions and backlogged callers.
//
// It brings no failure about by itself: tests do so by the methods of devfleet.
package fleettest
