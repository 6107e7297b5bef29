// Package dispatch runs one attempt of a request on one upstream.
//
// An attempt ends with a Result whose verdict is true: NotRun only when no byte of
// the request can have left this process, Ran only for a whole answer. A streamed
// answer is relayed event by event, resumed when its connection breaks, and cancelled
// at the engine when the caller is gone. Nothing here repeats a request.
package dispatch
