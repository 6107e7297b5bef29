package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// callWithin bounds one look at a router: a paused one never answers.
const callWithin = 15 * time.Second

// maxBody bounds an answer that is read, in bytes.
const maxBody = 8 << 20

// call sends body as JSON, if there is one, and returns the status and the answer.
func call(ctx context.Context, method, url, token string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, errors.Annotate(err, "encode request")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	return resp.StatusCode, answer, errors.Trace(err)
}
