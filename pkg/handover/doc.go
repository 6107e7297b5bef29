// Package handover relays callers' connections to other routers when the local CPU is overloaded.
// It copies bytes in both directions without parsing them.
//
// A single goroutine serves all connections at short intervals with non-blocking system calls. A
// connection therefore costs neither a goroutine nor a buffer, and a small host can relay several
// times as many requests as it can serve.
package handover
