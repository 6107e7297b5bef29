package devfleet

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// pollEvery is the pause between two looks at a starting process.
const pollEvery = 20 * time.Millisecond

// errEnded says that a process ended while its answer was awaited.
const errEnded = errors.ConstError("the process has ended")

// poll calls try until it succeeds, the process ends or ctx ends; the error is try's last.
func poll(ctx context.Context, p *Process, try func() error) error {
	pace := rate.NewLimiter(rate.Every(pollEvery), 1)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if isClosed(p.Gone()) {
			return errors.Annotatef(errEnded, "%s (its log is %s)", p.Name, p.LogFile)
		}
		if pace.Wait(ctx) != nil {
			return errors.Annotatef(err, "%s isn't ready in time", p.Name)
		}
	}
}

// waitAnswer waits until a GET of url is answered with 200.
func waitAnswer(ctx context.Context, p *Process, url string) error {
	return poll(ctx, p, func() error { return getOK(ctx, url, "") })
}

// getOK does a GET, with a bearer key when there is one; other than 200 is an error.
func getOK(ctx context.Context, url, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s: %s", url, resp.Status, body)
	}
	return nil
}

// waitReady waits until every router accepts callers with the seeded configuration.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, r := range f.Routers {
		if err := f.waitRouter(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// waitRouter waits for /readyz, and then for the last organisation's key to be
// known there: a router may be ready with an older configuration.
func (f *Fleet) waitRouter(ctx context.Context, r *Router) error {
	base := "http://" + r.Info.Entry
	if err := waitAnswer(ctx, r.Process, base+"/readyz"); err != nil {
		return err
	}
	if len(f.Ready.Organisations) == 0 {
		return nil
	}
	last := f.Ready.Organisations[len(f.Ready.Organisations)-1]
	return poll(ctx, r.Process, func() error { return getOK(ctx, base+"/v1/models", last.Key) })
}
