// Package gatewayd joins the parts of a gateway into a process: settings, servers,
// duties, start and end.
package gatewayd
