package daemon

import (
	"context"
	"os"
	"slices"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/reload"
	"github.com/flamingowind/flamingowind/pkg/settings"
)

// WatchSettings puts the settings of w's file in force whenever now is sent to, and when
// its content has changed, until ctx ends. It may run once, beside Run.
func (d *Daemon) WatchSettings(ctx context.Context, w *reload.Watcher, now <-chan os.Signal) {
	apply := func(content []byte) error {
		s, err := settings.Parse(w.File(), content)
		if err != nil {
			return errors.Trace(err)
		}
		d.reload(s)
		return nil
	}
	w.Run(ctx, now, apply, d.log)
}

// reload puts s in force as far as a running process can; what needs a restart is told.
func (d *Daemon) reload(s settings.Settings) {
	d.edge.Tune(edgeLimits(s.Limits))
	needs := needRestart(d.started, s)
	d.log.WithFields(log.Fields{"event": "reload", "needs_restart": needs}).Info("settings read again")
}

// needRestart names the sections that differ and can't be changed while the process runs.
// The content of the files that peers and operator name is read again by itself.
func needRestart(old, s settings.Settings) []string {
	was, is := old.Limits, s.Limits
	return reload.NeedRestart(
		reload.Section{Name: "router", Differs: old.Router != s.Router},
		reload.Section{Name: "listen", Differs: old.Listen != s.Listen},
		reload.Section{Name: "advertise", Differs: old.Advertise != s.Advertise},
		reload.Section{Name: "peers", Differs: differ(old.Peers, s.Peers)},
		reload.Section{Name: "platform", Differs: old.Platform != s.Platform},
		reload.Section{Name: "operator", Differs: old.Operator != s.Operator},
		reload.Section{Name: "limits.maxHeader", Differs: was.MaxHeader != is.MaxHeader},
		reload.Section{Name: "limits.maxConnections", Differs: was.MaxConnections != is.MaxConnections},
		reload.Section{Name: "limits.maxQueued", Differs: was.MaxQueued != is.MaxQueued},
		reload.Section{Name: "limits.bodyTimeout", Differs: was.BodyTimeout != is.BodyTimeout},
		reload.Section{Name: "limits.idleTimeout", Differs: was.IdleTimeout != is.IdleTimeout},
		reload.Section{Name: "timing", Differs: old.Timing != s.Timing},
		reload.Section{Name: "sharing", Differs: old.Sharing != s.Sharing},
		reload.Section{Name: "log", Differs: old.Log != s.Log},
	)
}

func differ(a, b settings.Peers) bool {
	return !slices.Equal(a.Seeds, b.Seeds) || a.Cert != b.Cert || a.Key != b.Key || a.CA != b.CA
}
