// Package soak runs gateways as separate processes between stand-ins of callers, upstreams
// and the operators' store, brings seeded faults about from outside them, and checks what
// callers and upstreams saw against what the gateways promise.
//
// The processes use the host's time of day only to tell their own lives apart, so clocks
// are not among the faults.
package soak
