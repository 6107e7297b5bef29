// Package admission accepts callers' connections at the rate at which the process can read them,
// and sheds the others at once: it refuses them with a response that says when to retry, and closes
// them without a response when even refusals would take too much CPU.
//
// A server that accepts every connection at once and serves them in the scheduler's order stops
// answering once the load exceeds its CPU: each request waits until its caller is about to give up,
// so the work is wasted. The symptom is a router at full CPU with thousands of open connections and
// hardly any responses. A bounded wait keeps the admitted requests fresh, and shedding a connection
// unread costs a small part of a request.
//
// Connections are admitted in rounds: the listener accepts some, then yields the CPU to the other
// goroutines, and the time until it runs again determines the size of the next round. Admitted
// connections are read in a limited number of read slots.
package admission
