package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/pkg/reload"
	"github.com/flamingowind/flamingowind/pkg/settings"
)

// exitSettings is the exit code for faulty settings.
const exitSettings subcommands.ExitStatus = 2

// load reads file, which the watcher then goes on from.
func load(file string) (*reload.Watcher, settings.Settings, subcommands.ExitStatus) {
	var s settings.Settings
	w, err := reload.Open(file)
	if err == nil {
		s, err = settings.Parse(file, w.Content())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return w, s, exitSettings
	}
	return w, s, subcommands.ExitSuccess
}
