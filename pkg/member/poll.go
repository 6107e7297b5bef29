package member

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxPoll bounds the time between two reads of the host list by one router.
const maxPoll = time.Minute

// pollHosts reads the host list until ctx ends. The fleet's reads stay at about one
// each Poll however many routers there are, up to the bound of maxPoll.
func (d *Duty) pollHosts(ctx context.Context) {
	for {
		d.readHosts(ctx)
		alive, _ := d.View().Reachable()
		timer := time.NewTimer(scattered(min(time.Duration(alive)*d.poll, maxPoll)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// scattered draws a time around mean, from half of it to one and a half.
//
// Guard: routers that started together would read the list at the same moments for ever,
// and between them nobody. News of a leaving upstream would wait for a whole round, which
// is a minute in a large fleet, and its host would get work that it then cuts.
func scattered(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

func (d *Duty) readHosts(ctx context.Context) {
	list, err := d.hosts.Hosts(ctx)
	if err != nil {
		// The list is only the second source: the last one stays in use.
		d.log.WithError(err).Debug("host list can't be read")
		return
	}
	select {
	case d.lists <- list:
	case <-ctx.Done():
	}
}
