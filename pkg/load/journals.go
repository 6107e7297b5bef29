package load

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// Attempt is one line of an upstream's journal.
type Attempt struct {
	// Upstream names whose journal it is.
	Upstream string    `json:"-"`
	Attempt  string    `json:"attempt"`
	Marker   string    `json:"marker"`
	Content  string    `json:"content"`
	Key      string    `json:"key"`
	Tokens   int       `json:"tokens"`
	Started  time.Time `json:"started"`
	Ended    time.Time `json:"ended"`
	State    string    `json:"state"`
}

// runKey tells which request ran: its marker, or the hash of its body where the
// marker didn't reach the service.
func (a Attempt) runKey() string {
	if a.Marker != "" {
		return a.Marker
	}
	return contentKey(a.Content)
}

func contentKey(hash string) string { return "content:" + hash }

// ServedBy returns a function that names the upstream that ran a request; "" when none did.
func ServedBy(attempts []Attempt) func(Request) string {
	upstreams := make(map[string]string, len(attempts))
	for _, a := range attempts {
		upstreams[a.runKey()] = a.Upstream
	}
	return func(q Request) string {
		return cmp.Or(upstreams[q.Marker], upstreams[q.contentKey()])
	}
}

type journal struct {
	Attempts []Attempt `json:"attempts"`
	// Dropped counts attempts that the journal had no room for.
	Dropped int `json:"dropped"`
}

// Journals reads the journals of all upstreams.
func Journals(ctx context.Context, upstreams []devfleet.UpstreamInfo) ([]Attempt, error) {
	parts := make([][]Attempt, len(upstreams))
	group, ctx := errgroup.WithContext(ctx)
	for i, u := range upstreams {
		group.Go(func() (err error) {
			parts[i], err = readJournal(ctx, u)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var all []Attempt
	for _, part := range parts {
		all = append(all, part...)
	}
	return all, nil
}

func readJournal(ctx context.Context, u devfleet.UpstreamInfo) ([]Attempt, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.URL+"/admin/journal", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "read the journal of %s", u.Name)
	}
	defer resp.Body.Close()
	var j journal
	if err := json.NewDecoder(resp.Body).Decode(&j); err != nil {
		return nil, errors.Annotatef(err, "read the journal of %s", u.Name)
	}
	if j.Dropped > 0 {
		return nil, errors.Errorf("the journal of %s misses %d attempts", u.Name, j.Dropped)
	}
	for i := range j.Attempts {
		j.Attempts[i].Upstream = u.Name
	}
	return j.Attempts, nil
}
