package docrun

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"slices"

	"github.com/juju/errors"
)

var (
	exposedName = regexp.MustCompile(`(?m)^# TYPE (\S+) `)
	namedInPage = regexp.MustCompile("`((?:flamingowind|tally)_[a-z_]+)`")
)

// ExposedMetrics reads the names at a metrics address, in order.
func ExposedMetrics(ctx context.Context, addr string) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "read metrics")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return names(exposedName, string(body)), errors.Annotate(err, "read metrics")
}

// DocumentedMetrics gives the names that a page explains, in order.
func DocumentedMetrics(page string) []string { return names(namedInPage, page) }

func names(pattern *regexp.Regexp, text string) []string {
	var list []string
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		list = append(list, m[1])
	}
	slices.Sort(list)
	return slices.Compact(list)
}
