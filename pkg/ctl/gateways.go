package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/status"
)

const gatewaysUsage = `gateways IP:PORT...
  Shows gateways by their metrics addresses: versions in force, ages, work, peers, and entries of
  upstreams that can't be used (NOT USED now, FAULTS so far in all rows of the store), and the
  evacuated zones, whose upstreams are given nothing.
  Exit code 1 when one does not answer or takes no callers.

  flamingowindctl gateways 10.0.0.7:7400 10.0.0.8:7400
`

// gatewayTimeout bounds the question to one gateway.
const gatewayTimeout = 2 * time.Second

// errUnready says that a gateway takes no callers or doesn't answer.
const errUnready = errors.ConstError("not all gateways are ready")

func (a *app) gatewaysCommand() *command {
	return &command{app: a, name: "gateways", synopsis: "show gateways by their metrics addresses", usage: gatewaysUsage, minArgs: 1, maxArgs: anyArgs, run: a.gateways}
}

func (a *app) gateways(ctx context.Context, addrs []string) error {
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GATEWAY\tREADY\tACTIVE\tCONFIG\tLIST AGE\tPEERS\tEXCHANGE\tUPSTREAMS\tLEFT ALONE\tNOT USED\tFAULTS\tEVACUATED\tSOFTWARE")
	ready := true
	for _, addr := range addrs {
		s, err := gatewayStatus(ctx, addr)
		if err != nil {
			fmt.Fprintf(table, "%s\t%v\n", addr, err)
			ready = false
			continue
		}
		ready = ready && s.Ready
		printGateway(table, s)
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	if !ready {
		return errUnready
	}
	return nil
}

func printGateway(table io.Writer, s *status.Status) {
	alone, faulty := 0, 0
	for _, u := range s.Upstreams {
		switch {
		case u.Fault != "":
			faulty++
		case !u.Usable:
			alone++
		}
	}
	fmt.Fprintf(table, "%s\t%v\t%d\t%d\t%d ms\t%d\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
		s.Router, s.Ready, s.Active, s.Config, s.ListAgeMs, len(s.Routers), s.Exchange, len(s.Upstreams), alone, faulty, s.Faults, cmp.Or(strings.Join(s.EvacuatedZones, ","), "-"), cmp.Or(severalVersions(s.Software), "-"))
}

// severalVersions describes the services that upstreams of several software versions serve.
func severalVersions(list []status.Software) string {
	count := make(map[string]int)
	for _, v := range list {
		count[v.Service]++
	}
	var texts []string
	for _, v := range list {
		if count[v.Service] > 1 {
			texts = append(texts, fmt.Sprintf("%s %s: %d", v.Service, v.Version, v.Upstreams))
		}
	}
	return strings.Join(texts, ", ")
}

func gatewayStatus(ctx context.Context, addr string) (*status.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+status.PathJSON, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("it answers %s", resp.Status)
	}
	s := new(status.Status)
	return s, errors.Trace(json.NewDecoder(resp.Body).Decode(s))
}
