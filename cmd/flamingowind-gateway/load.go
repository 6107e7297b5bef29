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

// load reads file, or the one that the platform names where no flag does.
func load(file string) (gatewayd.Settings, subcommands.ExitStatus) {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	s, err := gatewayd.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return s, exitSettings
	}
	return s, subcommands.ExitSuccess
}
