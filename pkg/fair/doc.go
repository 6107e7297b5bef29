// Package fair orders waiting work of organisations by weighted service received.
//
// Each organisation has a virtual counter: units of service divided by its weight.
// The counter takes service as it is delivered and is never credited. Beside it stands
// what the organisation's running work is expected to take yet. The backlogged
// organisation with the least sum of the two is served next; a newly backlogged one is
// lifted by the counter alone. So a wrong expectation shifts who is next for as long as
// the work runs, and leaves no trace in the counters. The scheme is the Virtual Token
// Counter of "Fairness in Serving Large Language Models" (Sheng et al., OSDI 2024) with
// the expected rest added; docs/design/fair-order.md has the ways weighed.
//
// The package decides only: it reads no clock, holds no lock, and the same calls give
// the same order.
package fair
