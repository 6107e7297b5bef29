package gatewayd

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// reloadEvery is the pause between two looks whether the settings file is another one: it
// may change without a signal. A look costs one read of a small file.
const reloadEvery = 2 * time.Second

// WatchSettings puts file's settings in force whenever now is sent to, and when its
// content has changed, until ctx ends.
//
// Guard: by default the signal that announces other settings ends the process, and with
// it all that it serves. Whoever sends the signal must be listened to.
func (p *Process) WatchSettings(ctx context.Context, file string, now <-chan os.Signal) {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		p.reloadFailed(errors.Trace(err))
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-now:
			asked = true
		case <-tick.C:
		}
		data, err := os.ReadFile(file)
		if err == nil && bytes.Equal(data, last) && !asked {
			continue
		}
		if err == nil {
			last = data
			err = p.reload(file, data)
		} else if !asked {
			continue // it is being replaced; the next look finds it
		}
		if err != nil {
			p.reloadFailed(err)
		}
	}
}

func (p *Process) reload(file string, data []byte) error {
	s, err := decodeSettings(file, data)
	if err != nil {
		return errors.Trace(err)
	}
	p.Reload(s)
	return nil
}

// reloadFailed tells that the settings in force stay.
func (p *Process) reloadFailed(err error) {
	p.log.WithError(err).WithField("event", "reload_failed").Error("other settings can't be read, those in force stay")
}

// Reload puts s in force as far as a running process can; what needs a restart is told.
func (p *Process) Reload(s Settings) {
	old := p.settings.Load()
	needs := needRestart(*old, s)
	s.Router, s.Listen, s.Advertise, s.Limits.MemoryMiB, s.Limits.Cores, s.Log = old.Router, old.Listen, old.Advertise, old.Limits.MemoryMiB, old.Limits.Cores, old.Log
	p.settings.Store(&s)
	p.gateway.Tune(gatewaySettings(s))
	p.crowd.limit.Store(int64(s.Limits.KeptConnections))
	p.meet(s.Entries.Known)
	if s.Store.Addr != old.Store.Addr && p.readdress != nil {
		p.readdress(s.Store.Addr)
	}
	p.log.WithFields(log.Fields{"event": "reload", "store": s.Store.Addr, "needs_restart": needs}).Info("settings read again")
}

// needRestart names the sections that differ and can't be changed while the process runs.
func needRestart(old, s Settings) []string {
	sections := make([]string, 0)
	for _, one := range []struct {
		name    string
		differs bool
	}{
		{"router", old.Router != s.Router},
		{"listen", old.Listen != s.Listen},
		{"advertise", old.Advertise != s.Advertise},
		{"limits.memoryMiB", old.Limits.MemoryMiB != s.Limits.MemoryMiB},
		{"limits.cores", old.Limits.Cores != s.Limits.Cores},
		{"log", old.Log != s.Log},
	} {
		if one.differs {
			sections = append(sections, one.name)
		}
	}
	return sections
}
