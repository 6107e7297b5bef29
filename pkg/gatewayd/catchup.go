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
	// reportsFirst is how long reports and the store are waited for before a peer is asked:
	// usually they bring what is new.
	reportsFirst = 300 * time.Millisecond
	// catchUpTimeout is the time after which another peer is asked as well, askTimeout bounds
	// one question and mostAsked the peers that are asked at once.
	catchUpTimeout = 400 * time.Millisecond
	askTimeout     = 5 * time.Second
	mostAsked      = 3
)

// Catalog gives another router what it lacks.
func (t *telling) Catalog(ask fleet.CatalogRequest) fleet.CatalogUpdate {
	var given fleet.CatalogUpdate
	if table := t.catalog.Table(); table != nil && table.Config.Version > ask.Config {
		t.giveConfig(&given, table.Config, ask)
	}
	set, rev, since := t.catalog.List()
	switch {
	case int64(rev) <= ask.Instances:
	case t.catalog.Same(catalog.Revision(ask.Instances)):
		given.Revision, given.Same = int64(rev), true
	default:
		given.Revision = int64(rev)
		t.giveList(&given, set, int64(since), ask.Packed)
	}
	return given
}

func (t *telling) giveConfig(given *fleet.CatalogUpdate, cfg *routing.Config, ask fleet.CatalogRequest) {
	if !ask.Packed {
		given.PlainConfig = cfg
		return
	}
	var err error
	if given.Config, given.Base, err = t.documents.pack(cfg, ask.Config, ask.Digest); err != nil {
		t.untold(err)
	}
}

// giveList gives the list that has been the same since a revision.
func (t *telling) giveList(given *fleet.CatalogUpdate, set *upstream.Set, since int64, packed bool) {
	if !packed {
		given.PlainInstances = set.List()
		return
	}
	list, err := t.documents.packList(set, since)
	if err != nil {
		t.untold(err)
		given.Revision = 0
		return
	}
	given.Instances = list
}

// untold logs that something can't be told to peers.
func (t *telling) untold(err error) {
	t.log.WithError(err).WithField("event", "catalog_unpacked").Error("catalog can't be given to peers or read")
}

// ApplyUpdate takes what a peer gave.
func (t *telling) ApplyUpdate(peer fleet.Member, given *fleet.CatalogUpdate, asOf time.Time) {
	source := "peer " + peer.Name
	if given.PlainConfig != nil {
		t.catalog.Adopt(given.PlainConfig, source)
	}
	if len(given.Config) > 0 {
		cfg, err := t.documents.unpack(given.Config, given.Base)
		if err != nil {
			t.untold(err)
		} else {
			t.catalog.Adopt(cfg, source)
		}
	}
	switch {
	case given.Same:
		t.catalog.Confirm(catalog.Revision(given.Revision), asOf)
	case given.Revision > 0 && len(given.Instances) == 0:
		t.catalog.Replace(given.PlainInstances, catalog.Revision(given.Revision), asOf, source)
	case given.Revision > 0:
		list, err := unpackList(given.Instances)
		if err != nil {
			t.untold(err)
			return
		}
		t.catalog.Replace(list, catalog.Revision(given.Revision), asOf, source)
	}
}

// catchUp asks peers for what reports don't bring, until ctx ends.
func (t *telling) catchUp(ctx context.Context, duty *fleet.Exchanger) {
	var asks sync.WaitGroup
	defer asks.Wait()
	asked := make(chan struct{}, mostAsked)
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-t.behind:
			waiting.For(ctx, reportsFirst)
			if !t.lacks(n.config, n.instances) {
				continue
			}
			select {
			case asked <- struct{}{}:
				done := make(chan struct{})
				asks.Go(func() {
					defer func() { close(done); <-asked }()
					t.askPeer(ctx, duty, n)
				})
				waiting.Until(ctx, done, catchUpTimeout)
			default: // their answers are under way
			}
		}
	}
}

func (t *telling) askPeer(ctx context.Context, duty *fleet.Exchanger, n newer) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ask := fleet.CatalogRequest{Config: t.catalog.Version(), Digest: t.digest(), Instances: int64(t.catalog.InstancesRevision())}
	asked := time.Now()
	given, err := duty.FetchCatalog(ctx, n.peer.Peers, ask)
	fields := log.Fields{"event": "caught_up", "peer": n.peer.Name, "config": ask.Config, "peer_config": n.config, "waited_ms": time.Since(asked).Milliseconds()}
	if err != nil {
		fields["event"] = "catch_up_failed"
		t.log.WithError(err).WithFields(fields).Info("peer gives no catalog")
		return
	}
	if given.Config != nil || given.PlainConfig != nil {
		t.log.WithFields(fields).Info("peer gives a configuration")
	}
	t.ApplyUpdate(n.peer, given, n.asOf)
}

// digest is that of the configuration in force; 0 without one.
func (t *telling) digest() uint64 {
	table := t.catalog.Table()
	if table == nil {
		return 0
	}
	own, err := t.documents.of(table.Config)
	if err != nil {
		t.untold(err)
	}
	return own.digest
}
