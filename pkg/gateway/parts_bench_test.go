package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// BenchmarkPartsOfOneRequest asks three times whether a request is refused, and records that it completed: with the parts
// of an ordinary prompt and of the largest head, before any crash and after one under as many parts.
func BenchmarkPartsOfOneRequest(b *testing.B) {
	for _, parts := range []int{8, 32, 6000} {
		for _, crashes := range []int{0, 1, PartCrashLimit} {
			b.Run(fmt.Sprintf("parts=%d/crashes=%d", parts, crashes), func(b *testing.B) {
				g := newPartsGateway()
				for n := range crashes {
					run := newPromptRequest("a", append(partNames("s", parts), badPart)...).lostRun()
					run.At = run.At.Add(time.Duration(n-2*PartCrashLimit) * time.Second)
					g.recordCrash(run, upstream.Life{ID: upstream.ID(fmt.Sprint(n))})
				}
				meta := newPromptRequest("a", partNames("s", parts)...).meta
				service := &routing.Service{Name: "a"}
				for b.Loop() {
					r := &request{meta: meta, service: service}
					for range 3 {
						if g.refuses(r) {
							b.Fatal("a sound request is refused")
						}
					}
					g.recordSound(r)
				}
			})
		}
	}
}

// BenchmarkCrashUnderParts records crashes under a prompt with new parts each time, and takes what a report to a peer
// holds.
func BenchmarkCrashUnderParts(b *testing.B) {
	for _, parts := range []int{8, 32, 6000} {
		b.Run(fmt.Sprint("parts=", parts), func(b *testing.B) {
			g := newPartsGateway()
			own, n := partNames("s", parts), 0
			for b.Loop() {
				n++
				p := &prompt.Prompt{Parts: make([]prompt.Part, 0, parts+1)}
				for _, id := range own {
					p.Parts = append(p.Parts, prompt.Part{ID: fmt.Sprint(n%8, id)})
				}
				r := &request{meta: RequestMetadata{Prompt: p}, service: &routing.Service{Name: "a"}}
				g.recordCrash(r.lostRun(), upstream.Life{ID: upstream.ID(fmt.Sprint(n))})
				_, _ = g.quarantine.News(0, 256)
			}
		})
	}
}
