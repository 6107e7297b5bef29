// Package stops plays planned stops, reloads and configurations on real gateways, in series and
// overlapping, under callers that use their connections until the process is gone, and checks that no
// request which was read is lost.
package stops
