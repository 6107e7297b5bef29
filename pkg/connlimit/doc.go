// Package connlimit bounds what connections take before their requests are complete: their number, and the memory of the heads
// that are read.
//
// Clients that open connections and never finish a request would otherwise use up a process's memory and descriptors, and nobody
// else would be served. A new connection beyond a limit takes the place of the one whose request has been unfinished for the
// longest time, or else of the one that has been idle for the longest time. Connections whose requests are being served are
// never closed for others.
package connlimit
