package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/internal/experiment"
)

// journalCmd compares the plays of a journal by commit.
type journalCmd struct {
	dir  string
	html string
}

func (*journalCmd) Name() string { return "journal" }

func (*journalCmd) Synopsis() string { return "compare the plays of a journal by commit" }

func (*journalCmd) Usage() string {
	return "experiment journal [-dir DIR] [-html FILE] BASE OTHER...\n" +
		"BASE and OTHER begin the commits that were played, or stand in brackets in the reason for the play.\n"
}

func (c *journalCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "journal", "directory of the journal")
	f.StringVar(&c.html, "html", "", "file for a report with plots")
}

func (c *journalCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names := f.Args()
	if len(names) < 2 {
		fmt.Print(c.Usage())
		return subcommands.ExitUsageError
	}
	plays, err := experiment.ReadJournal(c.dir, experiment.ByCommits(names...))
	if err != nil {
		fmt.Println("journal:", err)
		return subcommands.ExitFailure
	}
	var list []experiment.Comparison
	for _, other := range names[1:] {
		list = append(list, experiment.Compare(plays, names[0], other))
	}
	return show(list, c.html)
}
