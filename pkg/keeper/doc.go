// Package keeper orders the slots of one cell's upstreams among organisations.
//
// Keeper is a state machine: messages from routers go in, grants and refusals come
// out of Next. It reads no clock, holds no lock, starts nothing, and the same calls
// give the same grants. All of its state is soft: a new keeper rebuilds it from the
// routers' reports and re-sent claims. Two keepers of one cell at once admit too much
// work for a moment and break no promise, so keeping needs no lease.
//
// # When is a slot free
//
// A grant may be lost, late or doubled, and so may every answer to it. The keeper
// frees a slot only in these cases:
//
//  1. Done or Cancel from the router's present life. A router cancels only a claim
//     whose grant it has not used, and drops the claim with it, so it starts no more.
//  2. The slot was listed as running by report a, and a Full report b > a of the same
//     life omits it. Seq grows with sending, and a router lists all that it runs: the
//     request ended between the two, and its Done is late or lost.
//  3. The slot was never listed, a Full report omits it from Running and from Waiting,
//     no later report lists it, and the keeper's clock is past the last grant's sending
//     + TTL + margin. A claim that was sent is waiting, running or ended at its router,
//     so a report sent after it that lists it nowhere says that it ended. Only a report
//     sent before the claim could mislead, when a change of connection reorders the two:
//     against that the TTL is waited for. The router counts it from a moment before the
//     grant's sending (see wire.Grant), so it starts no more, and had it started before,
//     several reports in the TTL would have listed it.
//  4. The router was declared dead, or came back in a new life, TTL + margin ago: a dead
//     process starts nothing and its engine sees the connections break; one that is only
//     cut off has had time to let the grants on their way lapse.
//  5. Nothing at all confirmed the slot for Options.Silent: a router reports all through
//     its work, so both Done and the reports were lost. This keeps slots from leaking.
//
// A claim that a router still lists as waiting after its grant lapsed is not granted
// anew: the same slot is offered again with a new lapse. So at most one slot is ever
// held for one claim here, and a router that did start meanwhile ignores the offer.
//
// In cases 4 and 5 work may go on at a router that can't be heard. The cost is a short
// queue inside an engine, never a request that runs twice: a claim is granted only to
// the router that made it, and that router starts it once.
package keeper
