// Package warmup limits the rate of requests to cold upstreams: those that have just started, and
// those of an availability zone that was just restored after an evacuation.
//
// The limit holds for all routers together, without coordination. Each cold upstream is assigned to
// a few routers by rendezvous hashing; only they send to it, each within its own share of the
// limit. The shares add up to less than the limit, so that it still holds while a router has a
// different view of the fleet for a moment.
//
// A partitioned router hears neither of an evacuation nor of its end, so it treats every upstream
// as possibly cold. The assignees leave part of the limit unused for as many lost routers as could
// be assigned the upstream.
package warmup
