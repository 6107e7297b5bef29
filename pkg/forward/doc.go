// Package forward sends one request to one upstream and returns the response, over HTTP/1.1
// connections that it pools and checks itself.
//
// It never retries: a request is sent once, on one connection, and an Error says whether it may
// have reached the upstream.
package forward
