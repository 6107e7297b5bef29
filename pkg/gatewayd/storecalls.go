package gatewayd

import (
	"maps"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// storeCallsLogRounds is the number of rounds of housekeeping between two lines about calls to the
// store.
const storeCallsLogRounds = 5

// storeCalls tells how many calls to the operators' store this router has made, by kind.
type storeCalls struct {
	counts   func() map[string]int64
	scope    tally.Scope
	log      log.Interface
	reported map[string]int64
	logged   map[string]int64
	round    int
}

// report brings the counters up to date, and writes a line now and then when there were calls.
func (c *storeCalls) report() {
	if c.counts == nil {
		return
	}
	all := c.counts()
	for kind, n := range all {
		if added := n - c.reported[kind]; added > 0 {
			c.scope.Tagged(map[string]string{"kind": kind}).Counter("store_calls").Inc(added)
		}
	}
	c.reported = all
	if c.round++; c.round%storeCallsLogRounds == 0 {
		c.writeLog()
	}
}

// writeLog tells the log of the calls so far, if there were any since the last line.
func (c *storeCalls) writeLog() {
	if c.counts == nil {
		return
	}
	all := c.counts()
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
