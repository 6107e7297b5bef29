package docrun

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/ctl"
)

// CheckResources reads a YAML block as flamingowindctl would; dir gets its file.
func CheckResources(dir string, b Block) error {
	file := filepath.Join(dir, "block.yaml")
	if err := os.WriteFile(file, []byte(b.Text), 0o600); err != nil {
		return errors.Annotate(err, "write block")
	}
	_, err := ctl.ReadManifests(file)
	return errors.Annotatef(err, "line %d", b.Line)
}

// CheckMake asks make, without running anything, whether it knows what the block names.
func CheckMake(ctx context.Context, root string, b Block) error {
	for line := range strings.Lines(b.Text) {
		command, _, _ := strings.Cut(line, "#")
		words := strings.Fields(command)
		if len(words) == 0 {
			continue
		}
		cmd := exec.CommandContext(ctx, "make", append([]string{"--dry-run"}, words[1:]...)...)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); words[0] != "make" || err != nil {
			return errors.Errorf("line %d: %s: %v\n%s", b.Line, command, err, out)
		}
	}
	return nil
}

// CheckGo says whether the lines of a Go block stand in source, whatever their indent.
func CheckGo(source string, b Block) error {
	if !strings.Contains(flat(source), flat(b.Text)) {
		return errors.Errorf("line %d: this code isn't in the file that the test compiles", b.Line)
	}
	return nil
}

func flat(code string) string {
	var lines []string
	for line := range strings.Lines(code) {
		lines = append(lines, strings.TrimSpace(line))
	}
	return strings.Join(lines, "\n")
}
