package config_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// A restarted router hears a peer that was cut off before the last change: an old
// version, confirmed before the restart. It must wait for a confirmation from after it.
func TestConfirmationFromBeforeTheStartDoesNotCount(t *testing.T) {
	started := time.Now()
	l := config.NewLive(config.LiveOptions{ConfirmWithin: 5 * time.Second, Started: started})
	require.NoError(t, l.Adopt(started, &resource.Snapshot{Version: 1}))
	l.Confirm(started.Add(-time.Millisecond), 1)
	require.Error(t, l.Admit(started.Add(time.Second)))
	l.Confirm(started.Add(time.Second), 1)
	require.NoError(t, l.Admit(started.Add(time.Second)))
}
