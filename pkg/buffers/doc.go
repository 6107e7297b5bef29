// Package buffers bounds what all requests of a router hold of upstreams' responses in memory.
package buffers
