// Package gateway is the face of a router to callers who address services by host and
// path: it routes, authenticates, places, forwards, repeats where that is allowed, and
// answers for the outcome.
package gateway
