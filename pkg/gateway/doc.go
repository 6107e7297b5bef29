// Package gateway serves callers, who address services by host and path: it matches routes,
// authenticates callers, chooses an upstream for each request, forwards it, retries where that is
// allowed, and reports the outcome to the caller.
package gateway
