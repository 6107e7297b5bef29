package fleet

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// newBusyFleet returns a test fleet whose routers have work on engines for organisations.
func newBusyFleet(n, engines, organisations int) *testFleet {
	c := newTestFleet(n)
	c.requests = true
	i := 0
	for _, r := range c.routers {
		r.loads = nil
		for e := range 4 {
			r.loads = append(r.loads, InstanceLoad{Instance: fmt.Sprintf("i-%08x", (i*7+e*13)%engines), Life: 77, Running: 1, PrefillTokens: 900, KVTokens: 9000, BaseMs: 300, ActualMs: 280})
		}
		for o := range 6 {
			r.extraUses = append(r.extraUses, Use{Organisation: fmt.Sprintf("org-%02d", (i+o*11)%organisations), Asked: 1234.5678, Got: 1000.123})
		}
		i++
	}
	return c
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange reports the CPU time that a router needs per second of exchanges, in
// thousandths of a core, without the network.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := &testing.T{}
			synctest.Test(t, func(*testing.T) {
				c := newBusyFleet(n, 160, 60)
				c.encoded = true
				began := cpuTime(b)
				c.run(time.Second)
				b.ReportMetric(float64((cpuTime(b)-began).Microseconds())/1000/float64(n), "mcore/first-second")
				c.run(3 * time.Second)
				began = cpuTime(b)
				const seconds = 3
				c.bytes = 0
				c.run(seconds * time.Second)
				b.ReportMetric(float64((cpuTime(b)-began).Microseconds())/1000/seconds/float64(n), "mcore/router")
				b.ReportMetric(float64(c.bytes)/seconds/float64(n), "B/s/router")
			})
		})
	}
}
