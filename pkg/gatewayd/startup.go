package gatewayd

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

const (
	// startupLook is the time between two looks at what a router that starts waits for, slowStartupLook that after startupSoon.
	startupLook     = 10 * time.Millisecond
	slowStartupLook = 100 * time.Millisecond
	startupSoon     = 2 * time.Second
	// unreadyLogInterval is the time between two log lines of a router that doesn't become ready.
	unreadyLogInterval = 10 * time.Second
)

// startupStep is something that a router needs before it is ready.
type startupStep struct {
	name string
	done func() bool
}

// startup logs when a router becomes ready, and what it waited for.
type startup struct {
	steps []startupStep
	ready func() bool
	log   log.Interface
}

func (p *Process) startup() *startup {
	return &startup{ready: p.gateway.Ready, log: p.log, steps: []startupStep{
		{"rank", p.joiner.Settled},
		{"config", func() bool { return p.catalog.Version() > 0 }},
		{"upstreams", func() bool { return p.catalog.InstancesRevision() > 0 }},
		{"records", func() bool { records, _ := p.streams.Awaited(); return !records }},
		{"register", func() bool { _, register := p.streams.Awaited(); return !register }},
	}}
}

// run looks until the router is ready, or ctx ends.
func (s *startup) run(ctx context.Context) {
	began, after, loggedAt := time.Now(), make(log.Fields), time.Now()
	for look := startupLook; !s.ready(); {
		since := time.Since(began)
		waits := s.look(after, since)
		if time.Since(loggedAt) >= unreadyLogInterval {
			loggedAt = time.Now()
			s.log.WithFields(log.Fields{"event": "not_ready", "after_ms": since.Milliseconds(), "waits_for": waits}).Warn("router isn't ready yet")
		}
		if since > startupSoon {
			look = slowStartupLook
		}
		if !waiting.For(ctx, look) {
			return
		}
	}
	since := time.Since(began)
	s.look(after, since)
	s.log.WithFields(after).WithFields(log.Fields{"event": "ready", "after_ms": since.Milliseconds()}).Info("router is ready")
}

// look notes the steps that are newly done, and returns the others.
func (s *startup) look(after log.Fields, since time.Duration) (waits []string) {
	for _, step := range s.steps {
		field := step.name + "_ms"
		if _, known := after[field]; known {
			continue
		}
		if !step.done() {
			waits = append(waits, step.name)
			continue
		}
		after[field] = since.Milliseconds()
	}
	return waits
}
