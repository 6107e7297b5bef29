// Command stand plays the cases of the review: it holds the stand-ins of the platform's store and of callers, and
// starts routers and stand-ins of engines as processes of their own.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// longestCase ends a case that hangs.
const longestCase = 110 * time.Second

// play plays a case and returns what broke the rule, empty for nothing.
type play func(w *world) (broken []string, err error)

var cases = map[string]play{"leave": playLeave, "stall": playStall, "upload": playUpload, "deep": playDeep, "services": playServices, "rejoin": playRejoin}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand engine|CASE")
		os.Exit(exitFailed)
	}
	if os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(p play) int {
	if p == nil {
		return exitFailed
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := p(w)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(longestCase):
		r.err = fmt.Errorf("the case takes too long")
	}
	switch {
	case r.err != nil:
		w.note("couldn't run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return exitFailed
	case len(r.broken) > 0:
		for _, b := range r.broken {
			w.note("BROKEN: %s", b)
			fmt.Println(b)
		}
		return exitBroken
	}
	w.note("held")
	return exitHeld
}
