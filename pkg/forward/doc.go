// Package forward carries one request to one upstream and its answer back, over
// HTTP/1.1 connections that it keeps and checks itself.
//
// Nothing is ever sent twice behind the caller's back: a request goes out once, on one
// connection, and an Error says whether it may have reached the upstream.
package forward
