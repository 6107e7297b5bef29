// Package config keeps the configuration and brings it to every router.
//
// Store writes it to the platform's table: one head row moved by compare-and-set.
// Live holds the version in force in this router, confirms that it is current and
// says whether the router may accept requests. Poller and Syncer are the duties that
// keep Live up to date, from the table and from peers. docs/design/configuration.md
// weighs what a router does when it can't know whether it is current.
package config
