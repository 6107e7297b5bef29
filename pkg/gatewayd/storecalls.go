package gatewayd

import (
	"maps"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// storeCallsRounds is the number of rounds of housekeeping between two lines about calls to the
// store.
const storeCallsRounds = 5

// storeCalls tells how many calls to the operators' store this router has made, by kind.
type storeCalls struct {
	count  func() map[string]int64
	scope  tally.Scope
	log    log.Interface
	told   map[string]int64
	logged map[string]int64
	round  int
}

// tell brings the counters up to date, and writes a line now and then when there were calls.
func (c *storeCalls) tell() {
	if c.count == nil {
		return
	}
	all := c.count()
	for kind, n := range all {
		if fresh := n - c.told[kind]; fresh > 0 {
			c.scope.Tagged(map[string]string{"kind": kind}).Counter("store_calls").Inc(fresh)
		}
	}
	c.told = all
	if c.round++; c.round%storeCallsRounds == 0 {
		c.write()
	}
}

// write tells the log of the calls so far, if there were any since the last line.
func (c *storeCalls) write() {
	if c.count == nil {
		return
	}
	all := c.count()
	if maps.Equal(all, c.logged) {
		return
	}
	c.logged = all
	fields := log.Fields{"event": "store_calls"}
	for kind, n := range all {
		fields[kind] = n
	}
	c.log.WithFields(fields).Info("calls to the store since the start")
}
