package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/docrun"
	"github.com/flamingowind/flamingowind/internal/fleettest"
)

const root = "../.."

// An operator copies a command out of a page, in the worst hour of the year, and it
// fails or shows something else, since the program has changed and the page hasn't.
func TestPagesShowWhatHappens(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(root, "docs/operators/*.md"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range append(files, filepath.Join(root, "README.md")) {
		t.Run(filepath.Base(file), func(t *testing.T) { checkPage(t, file) })
	}
}

func checkPage(t *testing.T, file string) {
	page, err := docrun.ReadPage(file)
	require.NoError(t, err)
	dir := t.TempDir()
	var session *docrun.Session
	if page.Runs() {
		fleet := fleettest.Start(t, devfleet.DemoPlan("", ""))
		session, err = docrun.NewSession(dir, filepath.Join(root, "examples"), docrun.Environment(fleet.Fleet))
		require.NoError(t, err)
	}
	for _, b := range page.Blocks {
		require.NoError(t, checkBlock(t, session, dir, b), file)
	}
}

func checkBlock(t *testing.T, session *docrun.Session, dir string, b docrun.Block) error {
	switch b.Mode {
	case docrun.Resources:
		return docrun.CheckResources(dir, b)
	case docrun.Make:
		return docrun.CheckMake(t.Context(), root, b)
	case docrun.Go:
		source, err := os.ReadFile("openai_test.go")
		require.NoError(t, err)
		return docrun.CheckGo(string(source), b)
	default:
		return session.Run(t.Context(), b)
	}
}
