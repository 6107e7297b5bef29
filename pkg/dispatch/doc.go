// Package dispatch runs one attempt of a request on one upstream.
//
// The verdict of an attempt's Result is reliable: NotRun only if no byte of the request can have
// left this process or the upstream said that it ran nothing, Ran only for a complete response. A
// stream is relayed event by event, resumed if its connection breaks, and canceled at the engine if
// the caller leaves. Requests are never retried here.
package dispatch
