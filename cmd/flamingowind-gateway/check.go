package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/platform"
)

type checkCommand struct{ file string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string {
	return "flamingowind-gateway check [-settings FILE]\n" +
		"Names every fault of the file. Exit codes: 0 sound, 2 faulty.\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "YAML settings file; $"+platform.SettingsVariable+" without")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _, status := load(settingsFile(c.file))
	if status == subcommands.ExitSuccess {
		fmt.Println("settings are sound")
	}
	return status
}
