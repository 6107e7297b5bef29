package httpplatform

import (
	"context"
	"net/http"
	"net/url"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

type objects struct{ c *Client }

type hosts struct{ c *Client }

type weights struct{ c *Client }

func (o objects) Put(ctx context.Context, key string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	query := url.Values{"key": {key}}
	_, err := o.c.do(ctx, call{method: http.MethodPut, path: "/objects", query: query, body: data, discard: true})
	return err
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.c.do(ctx, call{method: http.MethodGet, path: "/objects", query: url.Values{"key": {key}}})
}

func (h hosts) Hosts(ctx context.Context) (platform.HostList, error) {
	var list platform.HostList
	err := h.c.getJSON(ctx, "/hosts", nil, &list)
	return list, err
}

func (w weights) Open(ctx context.Context, name string) error {
	query := url.Values{"name": {name}}
	_, err := w.c.do(ctx, call{method: http.MethodPost, path: "/weights/open", query: query, body: []byte{}, discard: true})
	return err
}
