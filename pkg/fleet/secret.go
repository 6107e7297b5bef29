package fleet

import (
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// SecretPath is where a router that restarts asks for the fleet's secret.
const SecretPath = "/fleet/secret"

// FetchSecret asks the peer at addr for the fleet's secret.
func (e *Exchanger) FetchSecret(ctx context.Context, addr string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+SecretPath, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	secret, err := io.ReadAll(io.LimitReader(resp.Body, secretSize))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK || len(secret) != secretSize {
		return nil, errors.Errorf("peer answered status %d to the request for the secret", resp.StatusCode)
	}
	return secret, nil
}
