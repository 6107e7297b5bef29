package clients_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// sampleEvery is the time between two looks at a process.
const sampleEvery = 10 * time.Millisecond

// usage is the most that a process has used, in bytes and descriptors.
type usage struct {
	// resident is its memory, kernel what its sockets have received and it hasn't read, together their largest sum.
	resident, kernel, together int64
	descriptors                int
}

// String gives the memory in MiB.
func (u usage) String() string {
	return fmt.Sprintf("%d MiB together (%d resident, %d in the kernel), %d descriptors", u.together>>20, u.resident>>20, u.kernel>>20, u.descriptors)
}

// watch is a running watch over a process.
type watch struct {
	pid int
	// locals are the ports on which the process listens, remotes those to which it connects.
	locals, remotes map[string]bool
	ends            context.CancelFunc
	done            sync.WaitGroup
	peak            usage
}

// newWatch returns a watch over a process that listens on the given addresses.
func newWatch(t *testing.T, pid int, addrs ...string) *watch {
	w := &watch{pid: pid, locals: make(map[string]bool), remotes: make(map[string]bool)}
	for _, addr := range addrs {
		w.locals[portOf(t, addr)] = true
	}
	return w
}

// portOf is an address's port as the kernel lists it.
func portOf(t *testing.T, addr string) string {
	_, port, err := net.SplitHostPort(addr)
	require.NoError(t, err)
	number, err := strconv.Atoi(port)
	require.NoError(t, err)
	return fmt.Sprintf("%04X", number)
}

// start starts the watch.
func (w *watch) start(t *testing.T) *watch {
	ctx, ends := context.WithCancel(t.Context())
	w.ends = ends
	w.done.Go(func() {
		for waiting.For(ctx, sampleEvery) {
			w.look()
		}
	})
	return w
}

// end ends the watch.
func (w *watch) end() usage {
	w.ends()
	w.done.Wait()
	w.look()
	return w.peak
}

func (w *watch) look() {
	resident, kernel := residentMemory(w.pid), w.unreadBytes()
	w.peak.resident = max(w.peak.resident, resident)
	w.peak.kernel = max(w.peak.kernel, kernel)
	w.peak.together = max(w.peak.together, resident+kernel)
	w.peak.descriptors = max(w.peak.descriptors, descriptors(w.pid))
}

// residentMemory is the memory of a process in bytes; 0 once it has ended.
func residentMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64) // the kernel writes numbers
	return pages * int64(os.Getpagesize())
}

// descriptors is how many a process has open.
func descriptors(pid int) int {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(0) // a process that has just ended has none
	return len(names)
}

// Columns of the kernel's list of connections.
const (
	columnLocal  = 1
	columnRemote = 2
	columnState  = 3
	columnQueues = 4
	// listening is the state of a listening socket, whose queue counts connections.
	listening = "0A"
)

// unreadBytes is what the connections have received and nobody has read.
func (w *watch) unreadBytes() int64 {
	list, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer list.Close()
	var sum int64
	for lines := bufio.NewScanner(list); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= columnQueues || fields[columnState] == listening {
			continue
		}
		_, local, _ := strings.Cut(fields[columnLocal], ":")
		_, remote, _ := strings.Cut(fields[columnRemote], ":")
		if !w.locals[local] && !w.remotes[remote] {
			continue
		}
		_, received, _ := strings.Cut(fields[columnQueues], ":")
		n, _ := strconv.ParseInt(received, 16, 64) // the kernel writes numbers
		sum += n
	}
	return sum
}
