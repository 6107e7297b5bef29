// Command stand-2 plays the scripted cases of the second review: it starts gateways as separate processes,
// with stand-ins of the platform's store, of engines and of requesters in its own process.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a run.
const maxRun = 115 * time.Second

// play plays a case and reports whether the rule held.
type play func(context.Context, *deployment) (held bool, err error)

// cases are the scripted cases by name.
var cases = make(map[string]play)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-2:", err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	d, err := newDeployment(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.notef("cannot run: %v", err)
		return exitNotRun
	}
	defer d.close()
	held, err := cases[name](ctx, d)
	switch {
	case err != nil:
		rec.notef("cannot run: %v", err)
		return exitNotRun
	case ctx.Err() != nil:
		rec.notef("cannot run: out of time")
		return exitNotRun
	case !held:
		rec.notef("the rule was broken")
		return exitBroken
	}
	rec.notef("the rule held")
	return exitHeld
}
