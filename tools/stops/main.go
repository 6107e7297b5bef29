// Command stops plays planned stops of real gateways and checks that no request is lost.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/flamingowind/flamingowind/internal/stops"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	out := flag.String("out", "out/stops", "directory for logs; those of runs without a finding are removed")
	seed := flag.Uint64("seed", 1, "first seed")
	runs := flag.Int("runs", 1, "number of runs with following seeds")
	routers := flag.Int("routers", 2, "routers of a run")
	callers := flag.Int("callers", 24, "callers for each router")
	length := flag.Duration("length", 14*time.Second, "time in which stops begin")
	late := flag.Bool("late", false, "play one stop in calm with requests that come until the router is gone, on one router")
	notes := flag.Bool("notes", false, "print what was done")
	flag.Parse()
	sound := true
	for i := range *runs {
		dir, seed := filepath.Join(*out, fmt.Sprint(*seed+uint64(i))), *seed+uint64(i)
		if *late {
			sound = one(stops.RunLate, stops.Late(*bin, dir, seed), *notes) && sound
			continue
		}
		o := stops.Small(*bin, dir, seed)
		o.Routers, o.Callers, o.Length = *routers, *callers, *length
		sound = one(stops.Run, o, *notes) && sound
	}
	if !sound {
		os.Exit(1)
	}
}

// one plays a seed and reports whether nothing was found.
func one(run func(context.Context, stops.Options) (stops.Verdict, error), o stops.Options, notes bool) bool {
	v, err := run(context.Background(), o)
	if err != nil {
		fmt.Printf("seed %d: not played: %v\n", o.Seed, err)
		return false
	}
	fmt.Println(v)
	if notes {
		for _, n := range v.Notes {
			fmt.Println("  ", n)
		}
	}
	for _, f := range v.Findings {
		fmt.Println("  found:", f)
	}
	if len(v.Findings) > 0 {
		return false
	}
	_ = os.RemoveAll(o.Dir) // what is left of it does no harm
	return true
}
