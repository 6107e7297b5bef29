package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/pkg/gatewayd"
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

// load reads file.
func load(file string) (gatewayd.Settings, subcommands.ExitStatus) {
	s, err := gatewayd.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return s, exitSettings
	}
	return s, subcommands.ExitSuccess
}
