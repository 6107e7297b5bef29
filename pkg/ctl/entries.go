package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"
)

const entriesUsage = `entries -entry IP:PORT [-org NAME] [-model NAME]
  Asks a router's callers' address which addresses a caller should use, best first.

  flamingowindctl entries -entry 10.0.0.7:8080 -org north -model marker
`

// entriesAnswer is the body of GET /v1/entries.
type entriesAnswer struct {
	Entries     []string `json:"entries"`
	KeepSeconds int      `json:"keepSeconds"`
}

func (a *app) entriesCommand() *command {
	var entry, org, model string
	return &command{app: a, name: "entries", synopsis: "show the addresses for callers", usage: entriesUsage,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&entry, "entry", "", "callers' address of a router, ip:port")
			f.StringVar(&org, "org", "", "organisation")
			f.StringVar(&model, "model", "", "model")
		},
		run: func(ctx context.Context, _ []string) error {
			if entry == "" {
				return errors.Annotate(errUsage, "-entry is needed")
			}
			query := url.Values{}
			if org != "" {
				query.Set("org", org)
			}
			if model != "" {
				query.Set("model", model)
			}
			return a.entries(ctx, entry, query)
		}}
}

func (a *app) entries(ctx context.Context, entry string, query url.Values) error {
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return errors.Annotate(errUsage, err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Annotatef(errUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	var body entriesAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&body); err != nil {
		return errors.Annotate(err, "entries")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("entries: status %d", resp.StatusCode)
	}
	for _, e := range body.Entries {
		fmt.Fprintln(a.out, e)
	}
	fmt.Fprintf(a.out, "keep for %d s\n", body.KeepSeconds)
	return nil
}
