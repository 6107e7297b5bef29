// Package buffers bounds what all requests of a router hold in memory, of request bodies and of upstreams' responses.
package buffers
