package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// badPart is a part that crashes upstreams.
const badPart = "bad"

// partsGateway is a gateway without upstreams, for what it knows of parts of prompts.
type partsGateway struct {
	*Gateway
	upstreams int
}

func newPartsGateway() *partsGateway {
	return &partsGateway{Gateway: &Gateway{quarantine: NewQuarantine(), metrics: newRequestMetrics(tally.NoopScope), log: &log.Logger{Handler: discard.New()}}}
}

// newPromptRequest returns a request to a service whose prompt has these shared parts.
func newPromptRequest(service string, parts ...string) *request {
	p := &prompt.Prompt{Input: len(parts) + 1}
	for _, id := range append(slices.Clone(parts), "own") {
		p.Parts = append(p.Parts, prompt.Part{ID: id, Tokens: 1})
	}
	return &request{meta: RequestMetadata{Prompt: p}, service: &routing.Service{Name: service}}
}

// crash lets an upstream crash under a request, if that isn't refused, and reports whether it did.
func (g *partsGateway) crash(service string, parts ...string) bool {
	r := newPromptRequest(service, parts...)
	time.Sleep(time.Second)
	if g.refuses(r) {
		return false
	}
	g.upstreams++
	g.recordCrash(r.lostRun(), upstream.Life{ID: upstream.ID(fmt.Sprint(g.upstreams))})
	time.Sleep(time.Second)
	return true
}

// complete lets a request complete, if it isn't refused, and reports whether it did.
func (g *partsGateway) complete(service string, parts ...string) bool {
	r := newPromptRequest(service, parts...)
	if g.refuses(r) {
		return false
	}
	g.recordSound(r)
	return true
}

func (g *partsGateway) refuses(r *request) bool {
	subject, _, _ := g.refusedFor(r)
	return subject != 0
}

// partNames returns names of so many parts.
func partNames(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i)
	}
	return list
}

// Guards against a part that crashes upstreams and is never refused, as it stands far back in long prompts, while sound
// requests with the same first part are.
func TestAPartThatCrashesUpstreamsIsRefusedInAnyPlace(t *testing.T) {
	for _, place := range []int{1, 31, 32, 36, 1500, 16000} {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newPartsGateway()
				for n := range PartCrashLimit {
					parts := append([]string{"first"}, partNames(fmt.Sprint(n, "-"), place-1)...)
					require.True(t, g.crash("a", append(parts, badPart)...))
				}
				require.False(t, g.crash("a", append(append([]string{"first"}, partNames("other", place-1)...), badPart)...))
				require.True(t, g.complete("a", "first"))
				require.True(t, g.complete("a", append([]string{"first"}, partNames("0-", place-1)...)...))
			})
		})
	}
}

// Guards against sound requests that are refused, or a part that isn't, as thousands of parts are common to those that
// crash upstreams and those that don't.
func TestManySharedPartsStaySoundBesideOneThatCrashesUpstreams(t *testing.T) {
	for name, sound := range map[string]bool{"sound ones run between": true, "none runs between": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const many, place = 6000, 3000
				g := newPartsGateway()
				shared := partNames("s", many)
				bad := slices.Insert(slices.Clone(shared), place, badPart)
				crashes := 0
				for range 2 * PartCrashLimit {
					if g.crash("a", bad...) {
						crashes++
					}
					if sound {
						require.True(t, g.complete("a", shared...))
						require.True(t, g.complete("a", shared[:place]...))
					}
				}
				require.LessOrEqual(t, crashes, PartCrashLimit)
				require.True(t, g.complete("a", shared[:place]...))
			})
		})
	}
}

// Guards against a part that crashes the upstreams of several services, and is refused only once it has crashed as
// many of each.
func TestCrashesOfAPartCountOverAllServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPartsGateway()
		for n := range PartCrashLimit {
			require.True(t, g.crash([]string{"a", "b"}[n%2], "first", badPart))
		}
		for _, service := range []string{"a", "b", "c"} {
			require.False(t, g.crash(service, "first", badPart))
			require.True(t, g.complete(service, "first"))
		}
	})
}

// Guards against a part that is never refused where it crashes upstreams, as it runs soundly at another service, or is
// refused there.
func TestAPartThatIsSoundAtAnotherServiceIsRefusedWhereItCrashesUpstreams(t *testing.T) {
	for name, often := range map[string]bool{"where it runs all the time": true, "where it runs seldom": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newPartsGateway()
				require.True(t, g.complete("b", "first", badPart))
				for range PartCrashLimit {
					require.True(t, g.crash("a", "first", badPart))
					if often {
						require.True(t, g.complete("b", "first", badPart))
					}
				}
				require.False(t, g.crash("a", "first", badPart))
				for range 3 {
					require.True(t, g.complete("b", "first", badPart))
					require.False(t, g.crash("a", "first", badPart))
				}
				require.True(t, g.complete("a", "first"))
			})
		})
	}
}

// Guards against a part that begins to crash the upstreams of another service once it is refused at the first.
func TestAPartThatIsRefusedAtOneServiceIsRefusedSoonAtOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPartsGateway()
		for range PartCrashLimit {
			require.True(t, g.crash("a", "first", badPart))
		}
		crashes := 0
		for range PartCrashLimit {
			for _, service := range []string{"b", "c"} {
				if g.crash(service, "first", badPart) {
					crashes++
				}
			}
		}
		require.LessOrEqual(t, crashes, 3)
		require.True(t, g.complete("b", "first"))
	})
}
