// Package edge is the callers' HTTP face of a router.
//
// It authenticates, bounds, queues and answers. Every answer says by its verdict
// whether the request may have run. A request passes in this order: gate (is this
// router fit to serve), key, queue bound, headers, body, route, idempotency record,
// slot, dispatch. What is refused early costs little.
package edge
