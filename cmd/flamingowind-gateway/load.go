package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/pkg/gatewayd"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "FLAMINGOWIND_CONFIG"

// exitSettings is the exit code for faulty settings.
const exitSettings subcommands.ExitStatus = 2

func load(file string) (gatewayd.Settings, subcommands.ExitStatus) {
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	s, err := gatewayd.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return s, exitSettings
	}
	return s, subcommands.ExitSuccess
}
