package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/pkg/gatewayd"
	"github.com/flamingowind/flamingowind/pkg/reload"
	"github.com/flamingowind/flamingowind/platform"
)

// exitSettings is the exit code for faulty settings.
const exitSettings subcommands.ExitStatus = 2

// settingsFile is file, or the one that the platform names where no flag does.
func settingsFile(file string) string {
	if file == "" {
		return os.Getenv(platform.SettingsVariable)
	}
	return file
}

// load reads file, which the watcher then goes on from.
func load(file string) (*reload.Watcher, gatewayd.Settings, subcommands.ExitStatus) {
	var s gatewayd.Settings
	w, err := reload.Open(file)
	if err == nil {
		s, err = gatewayd.ParseSettings(file, w.Content())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return w, s, exitSettings
	}
	return w, s, subcommands.ExitSuccess
}
