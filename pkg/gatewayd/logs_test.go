package gatewayd

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	eventInCode = regexp.MustCompile(`"event"(?:[:,]|\] =) "([a-z_]+)"`)
	eventInPage = regexp.MustCompile("`([a-z_]+)`")
)

// Guards against log events that the operators' page doesn't explain, and against events on the page
// that no code writes.
func TestPageNamesEveryEvent(t *testing.T) {
	code := make(map[string]bool)
	for _, dir := range []string{"../affinity", "../booking", "../catalog", "../fleet", "../gateway", "../reload", "../status", "../warmup", ".", "../../platform", "../../cmd/flamingowind-gateway"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			for _, m := range eventInCode.FindAllSubmatch(data, -1) {
				code[string(m[1])] = true
			}
			return err
		}))
	}
	page, err := os.ReadFile("../../docs/operators/logs.md")
	require.NoError(t, err)
	named := make(map[string]bool)
	for _, row := range strings.Split(string(page), "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 4 {
			continue
		}
		for _, m := range eventInPage.FindAllStringSubmatch(cells[1], -1) {
			named[m[1]] = true
		}
	}
	require.Equal(t, code, named)
}
