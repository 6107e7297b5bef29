// Package limit adapts the concurrency limit of one upstream to its latency and ejects
// upstreams that fail.
//
// An engine accepts any number of requests and queues them inside, where the fair order
// has no effect. The limit therefore stays near the knee of the latency curve: it grows
// while it is reached and latency stays near its baseline, and shrinks when latency rises
// well above it (additive increase, multiplicative decrease, as in TCP). Latency is what
// the routers measure; an engine's own load report lags behind.
package limit
