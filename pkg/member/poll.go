package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hostReaders routers read the host list often, each every hostReaders × Poll.
	hostReaders = 2
	readersKey  = "member/hosts"
	// restPoll is the mean time between two reads by any other router. They find out
	// what the readers can't, when those are cut off from the platform.
	restPoll = time.Minute
)

// pollHosts reads the host list until ctx ends. The fleet's reads stay at about one
// each Poll however many routers there are, beside one a minute by each.
//
// Guard: were the reads spread over all routers, chance alone could leave the list
// unread for many seconds, and a leaving upstream would get work that its host then
// cuts. Each reader draws at most one and a half times its mean, so while one of them
// reaches the list no pause is over 3 × Poll.
func (d *Duty) pollHosts(ctx context.Context) {
	opts := d.roster.opts
	random := rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(string(opts.Self.ID))))
	for {
		d.readHosts(ctx)
		timer := time.NewTimer(scattered(random, d.pollMean()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (d *Duty) pollMean() time.Duration {
	view := d.View()
	if slices.Contains(view.First(readersKey, hostReaders), view.Self.ID) {
		return hostReaders * d.poll
	}
	return restPoll
}

// scattered draws a time around mean, from half of it to one and a half.
//
// Guard: routers that started together would read the list at the same moments for ever,
// and between them nobody. News of a leaving upstream would wait for a whole round, which
// is a minute for most routers, and its host would get work that it then cuts.
func scattered(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

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
