// Package placement decides which upstream instance runs a request, and whether any should.
//
// LoadTracker tracks the load of each instance over all routers, and Inflows estimates what other
// routers have assigned since their last reports. Choose compares instances by the expected wait of
// the request and by the prompt tokens that would have to be recomputed. Choose reads no clock and
// starts no goroutine; its random number comes with the request.
package placement
