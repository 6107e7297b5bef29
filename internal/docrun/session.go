package docrun

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Bounds of one block.
const (
	runWithin = time.Minute
	tryEvery  = 200 * time.Millisecond
)

// Session runs the blocks of one page.
type Session struct {
	// Dir is the directory in which commands run.
	Dir string
	// Env is the environment of the commands, "NAME=value".
	Env []string
}

// NewSession returns a session in dir, which gets a copy of the examples.
func NewSession(dir, examples string, env []string) (*Session, error) {
	err := os.CopyFS(filepath.Join(dir, "examples"), os.DirFS(examples))
	return &Session{Dir: dir, Env: env}, errors.Annotate(err, "copy the examples")
}

// Run runs a block of commands and compares its output.
func (s *Session) Run(ctx context.Context, b Block) error {
	ctx, cancel := context.WithTimeout(ctx, runWithin)
	defer cancel()
	if b.Mode != RunUntil {
		return s.try(ctx, b)
	}
	pace := rate.NewLimiter(rate.Every(tryEvery), 1)
	for {
		err := s.try(ctx, b)
		if err == nil || pace.Wait(ctx) != nil {
			return err
		}
	}
}

// try runs the block once. Commands see no standard input; output and errors come
// together, as on a terminal.
func (s *Session) try(ctx context.Context, b Block) error {
	cmd := exec.CommandContext(ctx, "bash", "-eu", "-c", b.Text)
	cmd.Dir, cmd.Env = s.Dir, s.Env
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Annotatef(err, "line %d: output:\n%s", b.Line, out)
	}
	if !Matches(b.Want, string(out)) {
		return errors.Errorf("line %d: shown:\n%s\nprinted:\n%s", b.Line, b.Want, out)
	}
	return nil
}
