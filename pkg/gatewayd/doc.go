// Package gatewayd assembles the components of a gateway into a process: settings, servers,
// background tasks, startup and shutdown.
package gatewayd
