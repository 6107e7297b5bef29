// Package fleet exchanges state between the routers of a fleet: which routers are alive, what
// each has in flight on which upstream, how much traffic organisations request and receive, and
// which engines have which prompt prefixes in their cache.
//
// Two routers exchange reports several times a second over HTTP. Each report carries an HMAC
// under a secret that the fleet keeps in the operators' store. Reports hold full state rather
// than changes, so a lost report only delays information. There is no leader; a router that
// receives no reports decides on its own observations alone.
package fleet
