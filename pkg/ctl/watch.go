package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
)

const watchUsage = `watch [-from N] [-until N] [-o table|json]
  Prints changes as they are accepted, those after version -from first. When that
  history is gone it says so: list again, and watch from the version of the list.

  flamingowindctl watch -from 12
`

// Bounds of a watch.
const (
	maxLine    = 16 << 20
	reconnect  = time.Second
	firstLines = 64 << 10
)

// watcher is one run of watch.
type watcher struct {
	app   *app
	form  string
	from  int64 // -1: from now
	until uint64
}

func (a *app) watchCommand() *command {
	w := &watcher{app: a}
	return &command{app: a, name: "watch", synopsis: "print changes as they happen", usage: watchUsage, run: w.run,
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&w.from, "from", -1, "configuration version after which to start; -1 is now")
			f.Uint64Var(&w.until, "until", 0, "end after this version; 0 goes on")
			f.StringVar(&w.form, "o", formTable, "form: table or json")
		}}
}

// run goes on at the next router, from where it was, when a watch breaks off.
func (w *watcher) run(ctx context.Context, _ []string) error {
	client, err := w.app.client()
	if err != nil {
		return err
	}
	for {
		for _, server := range client.servers {
			done, err := w.stream(ctx, client, server)
			if done || final(err) {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reconnect):
		}
	}
}

// final says that another router would answer the same.
func final(err error) bool {
	var f *operator.Failure
	return errors.As(err, &f) && f.Status != http.StatusServiceUnavailable
}

func (w *watcher) stream(ctx context.Context, c *Client, server string) (done bool, err error) {
	path := "/watch"
	if w.from >= 0 {
		path += "?from=" + strconv.FormatInt(w.from, 10)
	}
	resp, err := c.send(ctx, server, http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, firstLines), maxLine)
	for lines.Scan() {
		if resp.StatusCode != http.StatusOK {
			return false, refusalOf(resp.StatusCode, lines.Bytes())
		}
		if done, err := w.line(lines.Bytes()); done || err != nil {
			return done, err
		}
	}
	return false, errors.Trace(lines.Err())
}

func (w *watcher) line(b []byte) (done bool, err error) {
	var l operator.Line
	if err := json.Unmarshal(b, &l); err != nil {
		return false, errors.Annotate(err, "watch line")
	}
	switch {
	case l.Error != nil:
		l.Error.Status = http.StatusGone
		return false, l.Error
	case l.Bookmark != nil:
		w.from = int64(*l.Bookmark)
	case l.Event != nil:
		w.from = int64(l.Event.Version)
		w.print(l, b)
	}
	return w.until > 0 && w.from >= int64(w.until), nil
}

func (w *watcher) print(l operator.Line, b []byte) {
	if w.form == formJSON {
		fmt.Fprintln(w.app.out, string(b))
		return
	}
	for _, c := range l.Event.Changes {
		fmt.Fprintf(w.app.out, "%d  %s  %s\n", l.Event.Version, c.Action, c.Ref)
	}
}
