// Package admission lets callers' connections in as fast as the process comes to read them,
// and turns the others away at once: with a refusal that says when to come back, and beyond
// what the processor bears of those by closing them.
//
// Guard: a server that accepts each connection at once and serves them in the scheduler's
// order answers nobody once it is asked for more than its processor can do: what it reads has
// waited so long that its caller is about to leave, and the work is done for nothing. It shows
// as a router that is busy all the time with thousands of open connections and hardly an
// answer. A bounded wait keeps what is read fresh, and a connection that is turned away
// unread costs a small part of a request.
//
// Connections are let in by rounds: some are accepted, the others get the processor, and how
// long they have it decides how many are let in next. Those let in are read a few at a time.
package admission
