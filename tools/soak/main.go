// Command soak plays seeded faults on real gateways and checks their promises.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/internal/soak"
)

// herdLength is the length of a run with kills of many routers.
const herdLength = 24 * time.Second

// herd is the share of the routers that are killed at once; 0 for the faults of each seed.
var herd float64

// outOfStep makes one router be out of step as a version joins, in place of the faults of each seed.
var outOfStep bool

// crashes makes callers send requests that crash upstreams.
var crashes bool

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	out := flag.String("out", "out/soak", "directory for logs; those of runs without a finding are removed")
	seed := flag.Uint64("seed", 0, "first seed; 0 draws one")
	runs := flag.Int("runs", 0, "number of runs with following seeds; 0 goes by -for")
	length := flag.Duration("for", time.Minute, "begin no run after that time")
	routers := flag.Int("routers", 0, "routers of a run; 0 takes the usual size")
	flag.Float64Var(&herd, "herd", 0, "kill this share of the routers at once, again and again, during releases, in place of the seed's faults")
	flag.BoolVar(&outOfStep, "out-of-step", false, "one router stands still, or is cut off, while another version joins, in place of the seed's faults")
	flag.BoolVar(&crashes, "crashes", false, "send requests that crash upstreams as well")
	known := flag.String("seeds", "", "file of seeds that are played first, each line: SEED ROUTERS CAUSE")
	flag.Parse()
	sound := *known == "" || playKnown(*bin, *out, *known)
	if *seed == 0 {
		*seed = uint64(rand.Uint32())
	}
	if !play(*bin, *out, *seed, *runs, *length, *routers) || !sound {
		os.Exit(1)
	}
}

// playKnown plays the seeds of a file and reports whether all promises were kept.
func playKnown(bin, out, file string) bool {
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Println("seeds:", err)
		return false
	}
	sound := true
	for _, line := range strings.Split(string(data), "\n") {
		var seed uint64
		var routers int
		if _, err := fmt.Sscan(line, &seed, &routers); err != nil {
			continue // a comment
		}
		sound = one(bin, out, seed, routers) && sound
	}
	return sound
}

// play plays seeds in a row and reports whether all promises were kept.
func play(bin, out string, first uint64, runs int, length time.Duration, routers int) bool {
	sound := true
	began := time.Now()
	for i := 0; runs > 0 && i < runs || runs == 0 && time.Since(began) < length; i++ {
		sound = one(bin, out, first+uint64(i), routers) && sound
	}
	return sound
}

// one plays a seed and reports whether all promises were kept.
func one(bin, out string, seed uint64, routers int) bool {
	o := soak.Small(bin, filepath.Join(out, fmt.Sprint(seed)), seed)
	if routers > 0 {
		o = o.Grown(routers)
	}
	o.Crashes = crashes
	o.OutOfStep = outOfStep
	if o.Herd = herd; herd > 0 {
		o.Length = herdLength
	}
	v, err := soak.Run(context.Background(), o)
	if err != nil {
		fmt.Printf("seed %d: not played: %v\n", o.Seed, err)
		return false
	}
	fmt.Printf("seed %d: %d routers, %d faults, %d requests, %d served, %d refused, %d stalls, %d findings\n",
		o.Seed, o.Routers, len(v.Faults), v.Requests, v.Served, v.Refused, v.Stalls, len(v.Findings))
	s := v.Streams
	fmt.Printf("  streams resumed %d, went on %d, refused %d; could go on %d, went on %d; of those whose first router was killed %d, went on %d; new ones at calm routers %d, began %d; with several versions %d\n",
		s.Resumed, s.WentOn, s.Refused, s.Able, s.AbleWentOn, s.Orphaned, s.OrphanedWentOn, s.New, s.Begun, s.Mixed)
	for _, c := range v.Crashes {
		fmt.Println("  crashes:", c)
	}
	if len(v.Findings) > 0 {
		show(v)
		return false
	}
	if err := os.RemoveAll(o.Dir); err != nil {
		fmt.Println("logs stay:", err)
	}
	return true
}

// mostShown bounds the findings that are printed of a run.
const mostShown = 20

func show(v soak.Verdict) {
	for _, f := range v.Faults {
		fmt.Println("  fault:", f)
	}
	for _, f := range v.Findings[:min(mostShown, len(v.Findings))] {
		fmt.Println("  finding:", f)
	}
	fmt.Println("  logs:", v.Options.Dir)
}
