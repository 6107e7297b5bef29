package devfleet

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// startPlatform starts the stand-in of the operators' platform.
func (f *Fleet) startPlatform(ctx context.Context) error {
	addr, err := f.ports.Take()
	if err != nil {
		return err
	}
	f.Platform, err = f.startStandin("platform", "platform", "-listen", addr)
	if err != nil {
		return err
	}
	f.Ready.Platform, f.Ready.PlatformPID = "http://"+addr, f.Platform.PID()
	return waitAnswer(ctx, f.Platform, f.Ready.Platform+"/hosts")
}

// startUpstreams starts the engines, several to a process if the plan says so, and
// the plain services.
func (f *Fleet) startUpstreams(ctx context.Context) error {
	for first := 0; first < f.Plan.Engines; first += f.Plan.perProcess() {
		last := min(first+f.Plan.perProcess(), f.Plan.Engines)
		if err := f.startEngines(ctx, first, last); err != nil {
			return err
		}
	}
	for i := range f.Plan.Services {
		if err := f.startService(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEngines(ctx context.Context, first, last int) error {
	var group []UpstreamInfo
	for i := first; i < last; i++ {
		u, err := f.newUpstream(Engine, i)
		if err != nil {
			return err
		}
		u.ChecksFence = first >= f.Plan.Fenceless
		group = append(group, u)
	}
	return f.startGroup(ctx, group,
		"-checks-fence="+strconv.FormatBool(group[0].ChecksFence),
		"-slots", strconv.Itoa(f.Plan.Slots),
		"-step-ms", strconv.FormatInt(f.Plan.Step.Milliseconds(), 10))
}

func (f *Fleet) startService(ctx context.Context, i int) error {
	u, err := f.newUpstream(PlainService, i)
	if err != nil {
		return err
	}
	return f.startGroup(ctx, []UpstreamInfo{u}, "-call-ms", strconv.FormatInt(f.Plan.Call.Milliseconds(), 10))
}

func (f *Fleet) newUpstream(kind UpstreamKind, i int) (UpstreamInfo, error) {
	addr, err := f.ports.Take()
	return UpstreamInfo{
		Name: fmt.Sprintf("%s-%02d", kind, i+1), Kind: kind, Zone: f.Plan.zone(i),
		URL: "http://" + addr, Slots: f.Plan.Slots,
	}, err
}

// startGroup starts one process that serves all upstreams of group.
func (f *Fleet) startGroup(ctx context.Context, group []UpstreamInfo, args ...string) error {
	var names, listens []string
	for _, u := range group {
		names = append(names, u.Name)
		listens = append(listens, strings.TrimPrefix(u.URL, "http://"))
	}
	args = append([]string{string(group[0].Kind),
		"-listen", strings.Join(listens, ","), "-name", strings.Join(names, ",")}, args...)
	p, err := f.startStandin(group[0].Name, args...)
	if err != nil {
		return err
	}
	f.Upstreams = append(f.Upstreams, p)
	for _, u := range group {
		u.PID = p.PID()
		f.Ready.Upstreams = append(f.Ready.Upstreams, u)
		if err := f.linkUpstream(u); err != nil {
			return err
		}
		if err := waitAnswer(ctx, p, u.URL+"/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// linkUpstream puts a relay before u when the plan wants relays.
func (f *Fleet) linkUpstream(u UpstreamInfo) error {
	if !f.Plan.Relays {
		return nil
	}
	addr, err := f.ports.Take()
	if err != nil {
		return err
	}
	relay, err := NewTCPRelay(addr, strings.TrimPrefix(u.URL, "http://"))
	if err != nil {
		return err
	}
	f.Links[u.Name] = relay
	return nil
}

// routedURL is where routers reach u: its relay when it has one.
func (f *Fleet) routedURL(u UpstreamInfo) string {
	if relay := f.Links[u.Name]; relay != nil {
		return "http://" + relay.Addr()
	}
	return u.URL
}

func (f *Fleet) startStandin(name string, args ...string) (*Process, error) {
	return StartProcess(f.Plan.Dir, name, filepath.Join(f.Plan.BinDir, standinProgram), args...)
}
