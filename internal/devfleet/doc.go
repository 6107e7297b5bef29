// Package devfleet starts whole fleets as separate processes on 127.0.0.1: the
// stand-ins, N routers with their own settings and certificates, and a seeded
// configuration.
//
// It serves the demo, the measurements and the failure tests. The daemons
// themselves start no processes and never import it.
package devfleet
