// Package limit adapts the work in progress on one upstream and takes dead upstreams out.
//
// An engine admits whatever comes, and a queue inside an engine is a queue without
// fairness. The limit therefore stays near the knee: it grows while it binds and the
// measured times stay near their baseline, and shrinks when they rise well over it
// (additive increase, multiplicative decrease, as in TCP). Times come from the routers'
// own measurements; an engine's load report lags.
package limit
