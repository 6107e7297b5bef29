// Package keeper grants the slots of one cell's upstreams to organisations in a fair order.
//
// Keeper is a state machine: it takes routers' messages, and Next returns grants and
// refusals. It has no clock, lock or goroutine, and the same calls always return the same
// grants. All of its state is soft: a new keeper rebuilds it from the routers' reports and
// re-sent claims. Two keepers of one cell at the same time briefly admit too much work, and
// break no guarantee, so keepers need no lease.
//
// # When a slot is freed
//
// A grant can be lost, delayed or duplicated, and so can every answer to it. The keeper
// frees a slot only in these cases:
//
//  1. Done or Cancel from the router's current incarnation. A router cancels a claim only if
//     it has not used its grant, and drops the claim with it, so it can't start it any more.
//  2. The slot was listed as running by report a, and a Full report b > a of the same
//     incarnation omits it. Seq grows in the order of sending, and a router lists everything
//     that it runs: the request ended between the two, and its Done is delayed or lost.
//  3. The slot was never listed, a Full report omits it from Running and from Waiting, no
//     later report lists it, and the keeper's clock is past the sending of the last grant
//     + TTL + margin. A claim that was sent is waiting, running or ended at its router, so a
//     report sent after it that lists it nowhere says that it ended. Only a report sent
//     before the claim could mislead, when a change of connection reorders the two: waiting
//     for the TTL covers that. The router counts the TTL from a moment before the grant was
//     sent (see wire.Grant), so it can't start the claim any more; had it started earlier,
//     several reports within the TTL would have listed it.
//  4. The router was declared dead, or came back in a new incarnation, TTL + margin ago. A
//     dead process starts nothing, and its engine sees the connections break. A router that
//     is only partitioned has had time for the grants on their way to expire.
//  5. Nothing confirmed the slot for Options.SilenceTimeout. A router reports for as long as its
//     work runs, so both Done and the reports were lost. This prevents slot leaks.
//
// When a router still lists a claim as waiting after its grant expired, the claim doesn't
// get a second slot: the keeper grants the same slot again with a new TTL. So a keeper
// holds at most one slot for a claim, and a router that started meanwhile ignores the
// repeated grant.
//
// In cases 4 and 5 the work may continue at a router that can't be reached. The cost is a
// short queue inside an engine, and never a request that runs twice: a claim is granted
// only to the router that made it, and that router starts it once.
package keeper
