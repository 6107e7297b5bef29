package gatewayd

import (
	"context"
	"os"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/reload"
)

// WatchSettings applies the settings of w's file whenever now receives a signal, and when the
// content has changed, until ctx ends.
func (p *Process) WatchSettings(ctx context.Context, w *reload.Watcher, now <-chan os.Signal) {
	apply := func(content []byte) error {
		s, err := ParseSettings(w.File(), content)
		if err != nil {
			return errors.Trace(err)
		}
		p.Reload(s)
		return nil
	}
	w.Run(ctx, now, apply, p.log)
}

// Reload applies the settings that can change in a running process, and logs the sections that need
// a restart.
func (p *Process) Reload(s Settings) {
	old := p.settings.Load()
	needs := needRestart(*old, s)
	s.Router, s.Listen, s.Advertise, s.Log = old.Router, old.Listen, old.Advertise, old.Log
	s.Limits.MemoryMiB, s.Limits.Cores, s.Limits.Descriptors = old.Limits.MemoryMiB, old.Limits.Cores, old.Limits.Descriptors
	p.settings.Store(&s)
	p.gateway.UpdateSettings(gatewaySettings(s))
	p.pools.SetMaxHead(s.Upstreams.maxHeadBytes())
	p.updateWarmup(s)
	p.local.bookings.SetRunShare(s.Bookings.RunShare)
	p.limitOthers(p.connLimits.maxDescriptors())
	p.addKnownPeers(s.Entries.Known)
	if s.Store.Addr != old.Store.Addr && p.setStoreAddr != nil {
		p.setStoreAddr(s.Store.Addr)
	}
	p.log.WithFields(log.Fields{"event": "reload", "store": s.Store.Addr, "needs_restart": needs}).Info("settings reloaded")
}

// needRestart names the sections that differ and can't be changed while the process runs.
func needRestart(old, s Settings) []string {
	return reload.NeedRestart(
		reload.Section{Name: "router", Differs: old.Router != s.Router},
		reload.Section{Name: "listen", Differs: old.Listen != s.Listen},
		reload.Section{Name: "advertise", Differs: old.Advertise != s.Advertise},
		reload.Section{Name: "limits.memoryMiB", Differs: old.Limits.MemoryMiB != s.Limits.MemoryMiB},
		reload.Section{Name: "limits.cores", Differs: old.Limits.Cores != s.Limits.Cores},
		reload.Section{Name: "limits.descriptors", Differs: old.Limits.Descriptors != s.Limits.Descriptors},
		reload.Section{Name: "log", Differs: old.Log != s.Log},
	)
}
