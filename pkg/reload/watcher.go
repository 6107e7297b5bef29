package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// Every is the pause between two looks whether the settings file is another one: it
// may change without a signal. A look costs one read of a small file.
const Every = 2 * time.Second

// Watcher watches one settings file.
type Watcher struct {
	File string
	// Apply puts the file's content in force; when it fails nothing may have changed.
	Apply func(content []byte) error
	Log   log.Interface

	last []byte
}

// Run applies the file whenever now is sent to, and when its content has changed, until
// ctx ends.
//
// Guard: by default the signal that announces other settings ends the process, and with
// it all that it serves. Whoever sends the signal must be listened to.
func (w *Watcher) Run(ctx context.Context, now <-chan os.Signal) {
	tick := time.NewTicker(Every)
	defer tick.Stop()
	var err error
	if w.last, err = os.ReadFile(w.File); err != nil {
		w.failed(errors.Trace(err))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-now:
			w.look(true)
		case <-tick.C:
			w.look(false)
		}
	}
}

// look reads the file and applies it when it has changed or asked is set.
func (w *Watcher) look(asked bool) {
	content, err := os.ReadFile(w.File)
	switch {
	case err != nil && !asked: // it is being replaced; the next look finds it
		return
	case err == nil && !asked && bytes.Equal(content, w.last):
		return
	case err == nil:
		w.last = content
		err = w.Apply(content)
	}
	if err != nil {
		w.failed(errors.Trace(err))
	}
}

// failed tells that the settings in force stay.
func (w *Watcher) failed(err error) {
	w.Log.WithError(err).WithField("event", "reload_failed").Error("other settings can't be read, those in force stay")
}
