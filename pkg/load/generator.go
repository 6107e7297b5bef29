package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// generator makes the requests of one organisation. The n-th request is the same in
// each run of one seed, whatever the system's speed.
type generator struct {
	profile Profile
	org     devfleet.OrgInfo
	tag     string
	rng     *rand.Rand
	length  func() int
	n       int
}

// newGenerator seeds a generator; stream tells the two of one organisation apart.
func newGenerator(s Scenario, index int, org devfleet.OrgInfo, stream uint64) *generator {
	src := rand.NewPCG(s.Seed, uint64(index)<<8|stream)
	return &generator{
		profile: s.Profiles[index], org: org,
		tag: fmt.Sprintf("%s-%d-%d", org.Name, s.Seed, stream),
		rng: rand.New(src), length: s.Profiles[index].Lengths.sampler(src),
	}
}

// next returns the next request, without its entry and its time.
func (g *generator) next(allowService bool) Request {
	g.n++
	q := Request{
		Marker: fmt.Sprintf("%s-%06d", g.tag, g.n), Org: g.org,
		Class: g.class(), Form: Streamed, Tokens: g.length(),
	}
	if g.rng.Float64() < g.profile.PlainShare {
		q.Form = Plain
	}
	if share := g.rng.Float64(); allowService && share < g.profile.ServiceShare {
		q.Form = ServiceCall
		if share < g.profile.ServiceShare/2 {
			q.Form = ServiceSave
		}
	}
	return q
}

func (g *generator) class() Class {
	u := g.rng.Float64()
	switch {
	case u < g.profile.UrgentShare:
		return Urgent
	case u < g.profile.UrgentShare+g.profile.BatchShare:
		return Batch
	default:
		return Normal
	}
}

// arrivals returns the offsets of Poisson arrivals at the profile's rate.
func (g *generator) arrivals(until time.Duration) []time.Duration {
	p := g.profile
	if p.Rate <= 0 {
		return nil
	}
	if p.To > 0 {
		until = min(until, p.To)
	}
	gap := distuv.Exponential{Rate: p.Rate, Src: g.rng}
	var list []time.Duration
	for at := p.From; ; {
		at += time.Duration(gap.Rand() * float64(time.Second))
		if at >= until {
			return list
		}
		list = append(list, at)
	}
}
