package settings

import (
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"
)

// checker gathers problems of values that decoded well.
type checker struct {
	file     string
	line     func(key string) int
	problems []Problem
}

func check(s Settings, line func(string) int, file string) []Problem {
	c := &checker{file: file, line: line}
	c.required("router.id", s.Router.ID)
	c.required("router.zone", s.Router.Zone)
	c.address("listen.entry", s.Listen.Entry)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.operator", s.Listen.Operator)
	c.address("listen.metrics", s.Listen.Metrics)
	c.optionalAddress("advertise.entry", s.Advertise.Entry)
	c.optionalAddress("advertise.peer", s.Advertise.Peer)
	for _, seed := range s.Peers.Seeds {
		c.address("peers.seeds", seed)
	}
	c.readable("peers.cert", s.Peers.Cert)
	c.readable("peers.key", s.Peers.Key)
	c.readable("peers.ca", s.Peers.CA)
	c.readable("operator.tokenFile", s.Operator.TokenFile)
	c.baseURL("platform.url", s.Platform.URL)
	c.limits(s.Limits)
	c.timing(s.Timing)
	c.sharing(s.Sharing)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.form", s.Log.Form, "json", "text")
	return c.problems
}

func (c *checker) add(key, text string) {
	c.problems = append(c.problems, Problem{c.file, c.line(key), key, text})
}

func (c *checker) required(key, value string) {
	if strings.TrimSpace(value) == "" {
		c.add(key, "must be set")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "must be an IP number and a port, such as 10.0.0.7:8080")
	}
}

func (c *checker) optionalAddress(key, value string) {
	if value != "" {
		c.address(key, value)
	}
}

func (c *checker) readable(key, file string) {
	if file == "" {
		c.add(key, "must name a file")
		return
	}
	if _, err := os.Stat(file); err != nil {
		c.add(key, "the file can't be read: "+firstLine(err.Error()))
	}
}

func (c *checker) baseURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(key, "must be a base URL, such as http://10.0.0.2:7000")
	}
}

func (c *checker) oneOf(key, value string, accepted ...string) {
	for _, a := range accepted {
		if value == a {
			return
		}
	}
	c.add(key, "must be one of "+strings.Join(accepted, ", "))
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.add(key, "must be over 0")
	}
}

// minResponses is the memory, in bytes, that reading one response of the largest size takes.
const minResponses = 8 << 20

func (c *checker) limits(l Limits) {
	c.positive("limits.maxBody", int64(l.MaxBody))
	c.positive("limits.maxHeader", int64(l.MaxHeader))
	c.positive("limits.maxConnections", int64(l.MaxConnections))
	c.positive("limits.maxQueued", int64(l.MaxQueued))
	c.positive("limits.bodyTimeout", int64(l.BodyTimeout))
	c.positive("limits.writeTimeout", int64(l.WriteTimeout))
	c.positive("limits.requestTimeout", int64(l.RequestTimeout))
	c.positive("limits.idleTimeout", int64(l.IdleTimeout))
	if l.MaxBodies < l.MaxBody {
		c.add("limits.maxBodies", "must not be under limits.maxBody")
	}
	if l.MaxHeads < l.MaxHeader {
		c.add("limits.maxHeads", "must not be under limits.maxHeader")
	}
	if l.MaxResponses < minResponses {
		c.add("limits.maxResponses", "must not be under 8MiB, which one response of the largest size takes")
	}
	if l.MaxDeadline < l.RequestTimeout {
		c.add("limits.maxDeadline", "must not be under limits.requestTimeout")
	}
	if l.RetryShare < 0 || l.RetryShare > 1 {
		c.add("limits.retryShare", "must be from 0 to 1")
	}
}

func (c *checker) timing(t Timing) {
	c.orders(t)
	c.positive("timing.heartbeat", int64(t.Heartbeat))
	c.positive("timing.poll", int64(t.Poll))
	c.positive("timing.grantTTL", int64(t.GrantTTL))
	c.positive("timing.report", int64(t.Report))
	c.positive("timing.drainLimit", int64(t.DrainLimit))
	if t.SuspectAfter <= t.Heartbeat {
		c.add("timing.suspectAfter", "must be over timing.heartbeat")
	}
	if t.DeadAfter <= t.SuspectAfter {
		c.add("timing.deadAfter", "must be over timing.suspectAfter")
	}
	if t.ConfirmWithin <= t.Poll {
		c.add("timing.confirmWithin", "must be over timing.poll")
	}
	// A router that can't read the table goes on with a majority of the members. One that
	// counts members as alive for too long after they were cut off would take a minority
	// for a majority while the others accept a change.
	if 5*t.SuspectAfter >= 2*t.ConfirmWithin {
		c.add("timing.suspectAfter", "must be under two fifths of timing.confirmWithin")
	}
}

// minOrderTTL is three times what a lease's holder gives up of it for clocks that run
// at different speeds.
const minOrderTTL = Duration(3 * time.Second)

func (c *checker) orders(t Timing) {
	if t.OrderTTL < minOrderTTL {
		c.add("timing.orderTTL", "must be at least "+minOrderTTL.Std().String())
	}
	c.positive("timing.orderLongest", int64(t.OrderLongest))
	c.positive("timing.orderInterval", int64(t.OrderInterval))
	c.positive("timing.orderPatience", int64(t.OrderPatience))
}

func (c *checker) sharing(s Sharing) {
	c.oneOf("sharing.mode", string(s.Mode), string(SharingFleet), string(SharingAlone))
	if s.Mode == SharingAlone && (s.Slices < 1 || s.Slice < 0 || s.Slice >= s.Slices) {
		c.add("sharing.slice", "mode alone needs slices over 0 and slice from 0 to slices-1")
	}
	if s.Mode == SharingFleet && (s.Slices != 0 || s.Slice != 0) {
		c.add("sharing.slices", "only for mode alone")
	}
}
