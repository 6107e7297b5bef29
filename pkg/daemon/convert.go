package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/edge"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/settings"
)

func advertised(advertise, listen string) string {
	if advertise != "" {
		return advertise
	}
	return listen
}

// seedOf makes random choices differ between routers and repeat for one router.
func seedOf(router string) uint64 { return xxhash.Sum64String(router) }

func edgeLimits(l settings.Limits) edge.Limits {
	limits := edge.DefaultLimits()
	limits.MaxBody = int64(l.MaxBody)
	limits.MaxBodies = int64(l.MaxBodies)
	limits.IdleTimeout = l.IdleTimeout.Std()
	limits.MaxDeadline = l.MaxDeadline.Std()
	limits.MaxHeader = int(l.MaxHeader)
	limits.MaxHeads = int64(l.MaxHeads)
	limits.MaxResponses = int64(l.MaxResponses)
	limits.MaxConnections = l.MaxConnections
	limits.MaxQueued = l.MaxQueued
	limits.BodyTimeout = l.BodyTimeout.Std()
	limits.WriteTimeout = l.WriteTimeout.Std()
	limits.RequestTimeout = l.RequestTimeout.Std()
	limits.RetryShare = l.RetryShare
	return limits
}

// orgQueued gives the bound of an organisation's waiting requests at this router.
func orgQueued(l *config.Live) func(string) int {
	return func(org string) int {
		if index := l.Index(); index != nil {
			if o := index.Organisation(org); o != nil {
				return o.MaxQueued
			}
		}
		return resource.DefaultMaxQueued
	}
}

// gate implements edge.Gate.
type gate struct{ live *config.Live }

// Admit implements edge.Gate.
func (g gate) Admit() error { return g.live.Admit(time.Now()) }
