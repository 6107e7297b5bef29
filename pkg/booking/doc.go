// Package booking lets the routers of a fleet take turns at the prefill time of engines.
//
// An engine prefills prompts in chunks, one between two tokens of the streams that it runs. While
// prompts are prefilled back to back, its streams make next to no progress. Routers that choose
// engines by reports some hundred milliseconds old send prompts to the same engine in the same
// moment: each prompt is short, but a run of three to nine of them stalls every stream of the
// engine for longer than its caller accepts, while other engines have nothing to prefill.
//
// So one router, the keeper, keeps the calendars of the engines of an availability zone. A router
// that has chosen a few engines for a prompt asks the keeper, which books the prompt at one of
// them: at once, or after a short delay that leaves the engine's streams a break between two runs.
//
// Bookings are advice. Nothing is granted that could be lost: a keeper that doesn't answer is
// skipped and the prompt is placed by the reports alone; two keepers of one engine, or a new keeper
// with empty calendars, let runs grow longer for as long as a run lasts.
//
// The decisions take the time as an argument and read no clock.
package booking
