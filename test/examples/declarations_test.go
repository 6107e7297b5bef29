package examples_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/ctl"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// A folder of examples that names a pool which isn't there would be refused by the
// first router that it is applied to.
func TestDeclarationsOfBothUsersAreSound(t *testing.T) {
	for _, folder := range []string{"tutor", "quota"} {
		files, err := ctl.ReadManifests(filepath.Join(root, "examples", folder))
		require.NoError(t, err)
		var ops []resource.Op
		for _, r := range files.Resources {
			ops = append(ops, resource.PutOp(r))
		}
		snapshot, err := new(resource.Snapshot).Apply(ops)
		require.NoError(t, err, folder)
		require.Len(t, snapshot.All(), len(files.Resources))
	}
}
