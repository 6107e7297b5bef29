package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

const (
	// Every is the time within which a changed settings file is applied without a signal.
	Every = 2 * time.Second
	// pollInterval is the time between two polls, of which two must read the same content. A poll
	// costs one read of a small file.
	pollInterval = Every / 2
)

// Watcher watches one settings file.
type Watcher struct {
	file    string
	content []byte
	// changePending is whether the newest poll found pending in place of content.
	changePending bool
	pending       []byte
}

// Open reads file for the first time. A process starts with that content.
//
// A file that is replaced after the process has read it and before Run watches it differs from this
// content at the first poll. Otherwise the process would keep its old settings.
func Open(file string) (*Watcher, error) {
	content, err := os.ReadFile(file)
	return &Watcher{file: file, content: content}, errors.Annotate(err, "read settings")
}

// Content is what the file held when it was read last.
func (w *Watcher) Content() []byte { return w.content }

// File is the file's name.
func (w *Watcher) File() string { return w.file }

// Apply puts a file's content in force; when it fails nothing may have changed.
type Apply func(content []byte) error

// Run applies the file whenever now receives a signal, and when its content has changed, until ctx
// ends.
//
// By default the signal that announces new settings terminates the process, so now must be
// registered for it.
func (w *Watcher) Run(ctx context.Context, now <-chan os.Signal, apply Apply, l log.Interface) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		announced := false
		select {
		case <-ctx.Done():
			return
		case <-now:
			announced = true
		case <-tick.C:
		}
		if err := w.poll(announced, apply); err != nil {
			l.WithError(err).WithField("event", "reload_failed").Error("other settings can't be read, those in force stay")
		}
	}
}

// poll reads the file and applies it when announced is set, or when it has changed and stays the
// same.
func (w *Watcher) poll(announced bool, apply Apply) error {
	content, err := os.ReadFile(w.file)
	switch {
	case err != nil && !announced: // it is being replaced; a later look finds it
		w.changePending = false
		return nil
	case err != nil:
		return errors.Trace(err)
	case !announced && !w.changeSettled(content):
		return nil
	}
	w.content, w.changePending = content, false
	return errors.Trace(apply(content))
}

// changeSettled reports whether the file has changed and two looks found the same.
//
// Guard: a file that is just being written ends anywhere, and half of it may be sound.
func (w *Watcher) changeSettled(content []byte) bool {
	same := w.changePending && bytes.Equal(content, w.pending)
	w.changePending, w.pending = !bytes.Equal(content, w.content), content
	return same && w.changePending
}
