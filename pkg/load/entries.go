package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/juju/errors"
)

// Entries is the system's answer to the question which addresses to use.
type Entries struct {
	Entries []string `json:"entries"`
	// KeepSeconds is how long a caller may keep the answer.
	KeepSeconds int `json:"keepSeconds"`
}

// AskEntries asks the router at entry ("ip:port") where org should send requests for model.
func AskEntries(ctx context.Context, entry, org, model string) (Entries, error) {
	query := url.Values{"org": {org}, "model": {model}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return Entries{}, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Entries{}, errors.Annotate(err, "ask for entries")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Entries{}, errors.Errorf("ask %s for entries: %s", entry, resp.Status)
	}
	var e Entries
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return Entries{}, errors.Annotate(err, "read entries")
	}
	return e, nil
}
