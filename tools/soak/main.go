// Command soak plays seeded faults on real gateways and checks their promises.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/flamingowind/flamingowind/internal/soak"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	out := flag.String("out", "out/soak", "directory for logs; those of runs without a finding are removed")
	seed := flag.Uint64("seed", 0, "first seed; 0 draws one")
	runs := flag.Int("runs", 0, "number of runs with following seeds; 0 goes by -for")
	length := flag.Duration("for", time.Minute, "begin no run after that time")
	routers := flag.Int("routers", 0, "routers of a run; 0 takes the usual size")
	flag.Parse()
	if *seed == 0 {
		*seed = uint64(rand.Uint32())
	}
	if !play(*bin, *out, *seed, *runs, *length, *routers) {
		os.Exit(1)
	}
}

// play plays seeds in a row and reports whether all promises were kept.
func play(bin, out string, first uint64, runs int, length time.Duration, routers int) bool {
	sound := true
	began := time.Now()
	for i := 0; runs > 0 && i < runs || runs == 0 && time.Since(began) < length; i++ {
		o := soak.Small(bin, filepath.Join(out, fmt.Sprint(first+uint64(i))), first+uint64(i))
		if routers > 0 {
			o = o.Grown(routers)
		}
		v, err := soak.Run(context.Background(), o)
		if err != nil {
			fmt.Printf("seed %d: not played: %v\n", o.Seed, err)
			sound = false
			continue
		}
		fmt.Printf("seed %d: %d routers, %d faults, %d requests, %d served, %d refused, %d stalls, %d findings\n",
			o.Seed, o.Routers, len(v.Faults), v.Requests, v.Served, v.Refused, v.Stalls, len(v.Findings))
		if len(v.Findings) == 0 {
			os.RemoveAll(o.Dir)
			continue
		}
		sound = false
		show(v)
	}
	return sound
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
