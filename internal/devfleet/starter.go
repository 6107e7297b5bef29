package devfleet

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// startRequest is one process to start; done gets the result.
type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

var (
	starterOnce sync.Once
	starts      = make(chan startRequest)
)

// startChild starts cmd so that the kernel kills it when this process dies.
//
// Guard against left-over processes: a test binary that is killed, or panics in
// another goroutine, runs no cleanup, and its routers would hold ports and load the
// machine for ever. The kernel ties the signal to the *thread* that started the
// child, and the runtime may end threads; so one goroutine, locked to its thread
// for the life of the process, starts all children.
func startChild(cmd *exec.Cmd) error {
	starterOnce.Do(func() { go runStarter() })
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	r := startRequest{cmd: cmd, done: make(chan error, 1)}
	starts <- r
	return <-r.done
}

func runStarter() {
	runtime.LockOSThread()
	for r := range starts {
		r.done <- r.cmd.Start()
	}
}
