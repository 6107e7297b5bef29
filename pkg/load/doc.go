// Package load drives a fleet over its public interface and reports what callers
// got and what upstreams ran.
//
// It plans seeded arrivals (open loop, and closed loop for backlogged
// organisations), sends them, measures first-token and between-token times from the
// moment each request was meant to be sent, and joins the callers' records with the
// upstreams' journals: lost, doubled and cut answers, false refusals, the fairness
// gap and the utilisation of engines.
package load
