package gatewayd

import (
	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// upstreamConns reports why this router opened and closed connections to upstreams.
type upstreamConns struct {
	// each visits the counts since the start.
	each     func(visit func(event, reason string, n int64))
	scope    tally.Scope
	log      log.Interface
	reported map[[2]string]int64
}

// report updates the metrics, and logs the counts since the start if there are new ones.
func (c *upstreamConns) report() {
	if c.reported == nil {
		c.reported = make(map[[2]string]int64)
	}
	fields, changed := log.Fields{"event": "upstream_connections"}, false
	c.each(func(event, reason string, n int64) {
		key := [2]string{event, reason}
		if added := n - c.reported[key]; added > 0 {
			c.scope.Tagged(map[string]string{"event": event, "reason": reason}).Counter("upstream_connections").Inc(added)
			changed = true
		}
		c.reported[key] = n
		if n > 0 {
			fields[event+"_"+reason] = n
		}
	})
	if changed {
		c.log.WithFields(fields).Info("connections to upstreams since the start")
	}
}
