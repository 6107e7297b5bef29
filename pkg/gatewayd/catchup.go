package gatewayd

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	// reportWait is the delay before a request to a peer: reports and the store usually deliver
	// the update within it.
	reportWait = 300 * time.Millisecond
	// hedgeDelay is the time after which a hedged request may go to another peer, requestTimeout
	// bounds one request and maxInFlight the concurrent requests.
	hedgeDelay     = 400 * time.Millisecond
	requestTimeout = 5 * time.Second
	maxInFlight    = 3
)

// Catalog returns the newer configuration and list of upstreams that a peer lacks.
func (ls *localState) Catalog(request fleet.CatalogRequest) fleet.CatalogUpdate {
	var update fleet.CatalogUpdate
	if table := ls.catalog.Table(); table != nil && table.Config.Version > request.Config {
		ls.addConfig(&update, table.Config, request)
	}
	set, rev, since := ls.catalog.List()
	switch {
	case int64(rev) <= request.Instances:
	case ls.catalog.UnchangedSince(catalog.Revision(request.Instances)):
		update.Revision, update.Same = int64(rev), true
	default:
		update.Revision = int64(rev)
		ls.addInstances(&update, set, int64(since), request.Packed)
	}
	return update
}

func (ls *localState) addConfig(update *fleet.CatalogUpdate, cfg *routing.Config, request fleet.CatalogRequest) {
	if !request.Packed {
		update.PlainConfig = cfg
		return
	}
	var err error
	if update.Config, update.Base, err = ls.documents.pack(cfg, request.Config, request.Digest); err != nil {
		ls.logCodecError(err)
	}
}

// addInstances adds the list of upstreams, unchanged since a revision, to an update.
func (ls *localState) addInstances(update *fleet.CatalogUpdate, set *upstream.Set, since int64, packed bool) {
	if !packed {
		update.PlainInstances = set.List()
		return
	}
	list, err := ls.documents.packList(set, since)
	if err != nil {
		ls.logCodecError(err)
		update.Revision = 0
		return
	}
	update.Instances = list
}

// logCodecError logs that a configuration or list can't be encoded for peers or decoded.
func (ls *localState) logCodecError(err error) {
	ls.log.WithError(err).WithField("event", "catalog_unpacked").Error("cannot encode or decode the catalog for peers")
}

// ApplyUpdate applies an update from a peer to the catalog.
func (ls *localState) ApplyUpdate(from fleet.Member, update *fleet.CatalogUpdate, asOf time.Time) {
	source := "peer " + from.Name
	if update.PlainConfig != nil {
		ls.catalog.Adopt(update.PlainConfig, source)
	}
	if len(update.Config) > 0 {
		cfg, err := ls.documents.unpack(update.Config, update.Base)
		if err != nil {
			ls.logCodecError(err)
		} else {
			ls.catalog.Adopt(cfg, source)
		}
	}
	switch {
	case update.Same:
		ls.catalog.Confirm(catalog.Revision(update.Revision), asOf)
	case update.Revision > 0 && len(update.Instances) == 0:
		ls.catalog.Replace(update.PlainInstances, catalog.Revision(update.Revision), asOf, source)
	case update.Revision > 0:
		list, err := unpackList(update.Instances)
		if err != nil {
			ls.logCodecError(err)
			return
		}
		ls.catalog.Replace(list, catalog.Revision(update.Revision), asOf, source)
	}
}

// catchUp requests newer configurations and lists from peers until ctx ends.
func (ls *localState) catchUp(ctx context.Context, exchanger *fleet.Exchanger) {
	var requests sync.WaitGroup
	defer requests.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	for {
		select {
		case <-ctx.Done():
			return
		case newer := <-ls.newerPeers:
			waiting.For(ctx, reportWait)
			if !ls.lacks(newer.configVersion, newer.listRevision) {
				continue
			}
			select {
			case inFlight <- struct{}{}:
				done := make(chan struct{})
				requests.Go(func() {
					defer func() { close(done); <-inFlight }()
					ls.requestUpdate(ctx, exchanger, newer)
				})
				waiting.Until(ctx, done, hedgeDelay)
			default: // maxInFlight requests are waiting for responses
			}
		}
	}
}

func (ls *localState) requestUpdate(ctx context.Context, exchanger *fleet.Exchanger, newer newerPeer) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request := fleet.CatalogRequest{Config: ls.catalog.Version(), Digest: ls.digest(), Instances: int64(ls.catalog.InstancesRevision())}
	began := time.Now()
	update, err := exchanger.FetchCatalog(ctx, newer.member.Peers, request)
	fields := log.Fields{"event": "caught_up", "peer": newer.member.Name, "config": request.Config, "peer_config": newer.configVersion, "waited_ms": time.Since(began).Milliseconds()}
	if err != nil {
		fields["event"] = "catch_up_failed"
		ls.log.WithError(err).WithFields(fields).Info("peer did not return its catalog")
		return
	}
	if update.Config != nil || update.PlainConfig != nil {
		ls.log.WithFields(fields).Info("received a configuration from a peer")
	}
	ls.ApplyUpdate(newer.member, update, newer.asOf)
}

// digest returns the digest of the configuration in force; 0 without one.
func (ls *localState) digest() uint64 {
	table := ls.catalog.Table()
	if table == nil {
		return 0
	}
	doc, err := ls.documents.get(table.Config)
	if err != nil {
		ls.logCodecError(err)
	}
	return doc.digest
}
