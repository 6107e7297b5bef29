package devfleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// stopGrace is how long a process may take to end after SIGTERM before it is killed.
const stopGrace = 10 * time.Second

// Process is one started program. Its methods may be called from any goroutine.
type Process struct {
	Name string
	// LogFile gets standard output and error; a restart appends.
	LogFile string

	path string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{} // closed when the current life has ended
}

// StartProcess starts the program at path, with its log in dir/name.log.
func StartProcess(dir, name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: filepath.Join(dir, name+".log"), path: path, args: args}
	return p, p.Start()
}

// Start starts the program again after it ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !isClosed(p.gone) {
		return errors.Errorf("%s runs already", p.Name)
	}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Annotate(err, "open log")
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := startChild(cmd); err != nil {
		return errors.Annotatef(err, "start %s", p.Name)
	}
	p.cmd, p.gone = cmd, make(chan struct{})
	go reap(cmd, p.gone)
	return nil
}

// reap collects the exit status; the file descriptors belong to the child, so Wait
// ends with the child.
func reap(cmd *exec.Cmd, gone chan struct{}) {
	defer close(gone)
	_ = cmd.Wait()
}

// PID returns the process ID of the current life.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Gone is closed when the current life has ended.
func (p *Process) Gone() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone
}

// Kill ends the process with SIGKILL and waits until it is gone.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Gone()
	return nil
}

// Pause stops the process with SIGSTOP: it keeps its state and its connections.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to end with SIGTERM and doesn't wait.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Hangup sends the signal that announces other settings.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// Ended says that the current life has ended.
func (p *Process) Ended() bool { return isClosed(p.Gone()) }

// Stop ends the process gracefully; when ctx ends or the grace is over it is killed.
func (p *Process) Stop(ctx context.Context) error {
	if p.Ended() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	_ = p.Resume()
	_ = p.Terminate()
	select {
	case <-p.Gone():
		return nil
	case <-ctx.Done():
		return errors.Annotatef(p.Kill(), "kill %s", p.Name)
	}
}

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.gone) {
		return errors.Errorf("%s has ended", p.Name)
	}
	return errors.Annotatef(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
