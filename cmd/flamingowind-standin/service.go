package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/standin/host"
	"github.com/flamingowind/flamingowind/pkg/standin/service"
)

type serviceCommand struct {
	listen string
	name   string
	callMs float64
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "serve one or more instances of a plain service" }
func (*serviceCommand) Usage() string {
	return "service -listen 127.0.0.1:9100,127.0.0.1:9101 -name s1,s2 -call-ms 20\n"
}

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9100", "`addresses` to listen on, one for each instance")
	f.StringVar(&c.name, "name", "service", "`names` of the instances")
	f.Float64Var(&c.callMs, "call-ms", service.DefaultCall.Seconds()*1000, "`milliseconds` of one call")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	list, err := places(c.listen, c.name)
	if err == nil && c.callMs <= 0 {
		err = errors.New("-call-ms must be over 0")
	}
	if err != nil {
		return usageError(err)
	}
	var duties []duty
	for _, p := range list {
		duties = append(duties, c.instance(p))
	}
	return serveAll(ctx, duties)
}

func (c *serviceCommand) instance(p place) duty {
	var h *host.Host
	s := service.New(service.Options{
		Name:    p.name,
		Call:    time.Duration(c.callMs * float64(time.Millisecond)),
		OnCrash: func(revive time.Duration) { h.Crash(revive) },
	})
	h = host.New(p.name, p.addr, s.Handler())
	return serve(h)
}
