package slopes

import (
	"bytes"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// processorTime is what this process has used so far, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// resident is this process's resident memory without garbage, in bytes.
func resident() (int64, error) {
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, errors.Annotate(err, "read resident memory")
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0, errors.New("resident memory: short line")
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize()), errors.Trace(err)
}

// heap is the live heap in bytes, after a collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
