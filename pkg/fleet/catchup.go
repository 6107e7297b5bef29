package fleet

import (
	"bytes"
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// CatalogPath is where a router serves what it knows from the store to its peers.
const CatalogPath = "/fleet/catalog"

// CatalogRequest asks for whatever is newer than the sender's own versions.
type CatalogRequest struct {
	From      string `cbor:"1,keyasint"`
	Config    int64  `cbor:"2,keyasint"`
	Instances int64  `cbor:"3,keyasint"`
	// Digest is the digest of the sender's configuration, see Report.ConfigDigest.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Packed says that the sender can decode packed answers.
	Packed bool `cbor:"5,keyasint,omitempty"`
}

// CatalogUpdate is the answer; it leaves out whatever is not newer.
type CatalogUpdate struct {
	// PlainConfig and PlainInstances serve routers that cannot decode packed answers during a
	// rolling upgrade of the fleet.
	PlainConfig    *routing.Config     `cbor:"1,keyasint,omitempty"`
	PlainInstances []upstream.Instance `cbor:"2,keyasint,omitempty"`
	// Config is the packed configuration, as a delta from version Base unless that is 0.
	Config []byte `cbor:"5,keyasint,omitempty"`
	Base   int64  `cbor:"6,keyasint,omitempty"`
	// Instances is the packed list of upstreams at Revision.
	Instances []byte `cbor:"7,keyasint,omitempty"`
	Revision  int64  `cbor:"3,keyasint,omitempty"`
	// Same says that the list at Revision equals the list at the requested revision.
	Same bool `cbor:"4,keyasint,omitempty"`
}

// maxCatalogBytes bounds the size of a catalog message.
const maxCatalogBytes = 8 << 20

// FetchCatalog asks the peer at addr for what is newer than req describes.
func (e *Exchanger) FetchCatalog(ctx context.Context, addr string, req CatalogRequest) (*CatalogUpdate, error) {
	req.From, req.Packed = e.fleet.self.Name, true
	update := new(CatalogUpdate)
	if err := e.post(ctx, addr, CatalogPath, req, update, maxCatalogBytes); err != nil {
		return nil, errors.Trace(err)
	}
	return update, nil
}

// post sends an authenticated message and decodes the authenticated answer.
func (e *Exchanger) post(ctx context.Context, addr, path string, message, answer any, limit int) error {
	secret := e.fleet.Secret()
	if secret == nil {
		return errors.New("the fleet's secret is not known")
	}
	data, err := encode(message, secret)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	lease := e.fleet.buffers.Lease()
	defer lease.Release()
	body, extent, err := lease.Read(resp.Body, limit, 0)
	if err != nil {
		return errors.Trace(err)
	}
	if extent != buffers.Whole {
		return errors.Errorf("the peer's answer exceeds %d bytes, or there is no memory left for it", limit)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("peer answered status %d", resp.StatusCode)
	}
	return errors.Trace(decode(body, secret, answer))
}
