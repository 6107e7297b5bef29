// Package failtest is the machinery of the failure tests: it starts a fleet of real
// processes, sends requests, brings failures about and holds what callers got
// against what upstreams ran.
//
// Tests wait for conditions (Eventually) and never for a time. Whatever goes wrong
// in the machinery itself ends the test.
package failtest
