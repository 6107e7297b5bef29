// Package placement decides which upstream runs a request, and whether any should.
//
// Ledger counts the work in progress on each instance, over all routers; Choose weighs
// instances by how long a request would wait there and by what would have to be read
// again. Choose holds no clock, lock or goroutine.
package placement
