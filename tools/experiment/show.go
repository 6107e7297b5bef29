package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/experiment"
)

// show prints comparisons and writes the report when a file is named.
func show(list []experiment.Comparison, html string) subcommands.ExitStatus {
	for _, c := range list {
		fmt.Printf("%s against %s: %s, %+.3f over %d days (standard error %.3f, 95 %% %+.3f to %+.3f), rules broken %d and %d\n",
			c.Other, c.Base, c.Verdict, c.Mean, len(c.Pairs), c.Spread, c.Least, c.Most, c.BaseBroken, c.OtherBroken)
		for _, p := range c.Pairs {
			fmt.Printf("  %-20s %-28s %12d %-16s %.3f %.3f %+.3f\n", p.Site, p.Day, p.Seed, p.How, p.Base, p.Other, p.Difference())
		}
	}
	if html == "" {
		return subcommands.ExitSuccess
	}
	if err := write(html, list); err != nil {
		fmt.Println("report:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func write(file string, list []experiment.Comparison) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Trace(err)
	}
	if err := experiment.WriteHTML(f, list); err != nil {
		f.Close() // the page is lost already
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}
