package main

import (
	"context"
	"strings"

	"github.com/apex/log"
	"github.com/google/subcommands"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/flamingowind/flamingowind/pkg/standin/host"
)

// duty is something that runs until its context ends.
type duty func(ctx context.Context) error

// serveAll runs all duties until the context ends or one of them fails.
func serveAll(ctx context.Context, duties []duty) subcommands.ExitStatus {
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range duties {
		group.Go(func() error { return d(ctx) })
	}
	if err := group.Wait(); err != nil {
		log.WithError(err).Error("failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func serve(h *host.Host) duty { return h.Run }

// place is one upstream's name and address.
type place struct{ name, addr string }

// places pairs the lists of the -listen and -name flags.
func places(listen, name string) ([]place, error) {
	addrs, names := strings.Split(listen, ","), strings.Split(name, ",")
	if listen == "" || name == "" || len(addrs) != len(names) {
		return nil, errors.New("-listen and -name need one address for each name")
	}
	list := make([]place, len(addrs))
	for i := range addrs {
		if addrs[i] == "" || names[i] == "" {
			return nil, errors.New("-listen and -name hold an empty part")
		}
		list[i] = place{names[i], addrs[i]}
	}
	return list, nil
}

func usageError(err error) subcommands.ExitStatus {
	log.WithError(err).Error("wrong usage")
	return subcommands.ExitUsageError
}
