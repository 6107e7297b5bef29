// Package fair implements a weighted fair queue of organisations, ordered by the service
// that each has received.
//
// Each organisation has a virtual counter: units of service divided by its weight.
// Service is charged to the counter as it is delivered, so no prediction has to be
// credited back. The service that the organisation's running work is still expected to
// take is kept beside the counter. The backlogged organisation with the smallest sum of
// the two is served next. An organisation that becomes backlogged is lifted to the current
// level of the counters, without the expected service. A wrong prediction therefore
// affects the order only while the work runs and never changes a counter. The scheme is
// the Virtual Token Counter of "Fairness in Serving Large Language Models" (Sheng et al.,
// OSDI 2024) with the expected service added; docs/design/fair-order.md compares the
// alternatives.
//
// The package only decides: it reads no clock and holds no lock, and the same calls give
// the same order.
package fair
