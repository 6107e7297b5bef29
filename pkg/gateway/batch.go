package gateway

import "time"

const (
	// unbatchedStreamsPerCore is the number of streams per core above which relaying each event
	// on its own takes much of the CPU: each event costs a read, a write and a wake-up.
	unbatchedStreamsPerCore = 400
	// batchDelayFraction is the part of an event's allowed delay that is spent waiting for more events.
	batchDelayFraction = 0.5
)

// batchDelay returns how long a router with that many streams waits for more events before it
// relays them; 0 means that it doesn't wait. cores is the CPU of the router, maxDelay the delay
// that an event may have inside the router; both are 0 when unknown.
//
// Load pattern: many callers connect to one small host, and relaying the events of their streams
// takes most of its CPU, so that first events are late.
func batchDelay(streams int64, cores float64, maxDelay time.Duration) time.Duration {
	if cores <= 0 || float64(streams) <= unbatchedStreamsPerCore*cores {
		return 0
	}
	return time.Duration(batchDelayFraction * float64(maxDelay))
}

// waitForBatch waits for more events of a stream and returns how long it waited. It doesn't wait
// before the first event, which is never delayed.
func (g *Gateway) waitForBatch(state *attemptState) time.Duration {
	s := g.settings.Load()
	delay := batchDelay(g.activeStreams.Load(), s.Cores, s.MaxEventDelay)
	if delay == 0 || state.lastEventAt.IsZero() {
		return 0
	}
	time.Sleep(delay)
	return delay
}
