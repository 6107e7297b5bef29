package daemon

import (
	"encoding/hex"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/edge"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// catalogs gives the edge the configuration in force.
type catalogs struct{ live *config.Live }

// Current implements edge.Source.
func (c catalogs) Current() edge.Catalog {
	index := c.live.Index()
	if index == nil {
		return nil
	}
	return catalog{index}
}

// catalog is one version of the configuration as the edge sees it.
type catalog struct{ index *resource.Index }

// Authenticate implements edge.Catalog.
func (c catalog) Authenticate(keyHash [32]byte) (edge.Org, bool) {
	org := c.index.ByKeyHash(hex.EncodeToString(keyHash[:]))
	if org == nil {
		return edge.Org{}, false
	}
	return edge.Org{Name: org.Name, MaxQueued: org.MaxQueued, Disabled: org.Disabled}, true
}

// Model implements edge.Catalog.
func (c catalog) Model(name string) (edge.Route, bool) { return c.route(c.index.Model(name)) }

// Service implements edge.Catalog.
func (c catalog) Service(name string) (edge.Route, bool) { return c.route(c.index.Service(name)) }

func (c catalog) route(r *resource.Route) (edge.Route, bool) {
	if r == nil {
		return edge.Route{}, false
	}
	return edge.Route{Pool: r.Pool, AtMostOnce: r.AtMostOnce, CallUnits: c.index.Pool(r.Pool).CallUnits}, true
}

// Models implements edge.Catalog.
func (c catalog) Models() []string { return c.index.Models() }

// Resumes implements edge.Catalog.
func (c catalog) Resumes(upstream string) bool {
	u := c.index.Upstream(upstream)
	return u != nil && u.Resumes
}
