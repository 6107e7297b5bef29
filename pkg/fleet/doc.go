// Package fleet keeps the routers of a fleet informed of each other: who is alive, what
// each has in progress on which upstream, what organisations ask for and get, and which
// engines have read which prompts.
//
// Two routers exchange reports several times a second over HTTP, each sealed with a
// secret that the fleet keeps in the operators' store. Reports hold state and not
// changes, so a lost one costs nothing but time. Nobody leads; a router that hears
// nobody goes on with what it sees itself.
package fleet
