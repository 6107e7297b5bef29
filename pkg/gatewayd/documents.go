package gatewayd

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/delta"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxDocuments is how many versions of the configuration are kept, for peers that have one of
// them and lack the newest.
const maxDocuments = 4

// document is a configuration as routers give it to each other.
type document struct {
	version int64
	// digest tells different documents of one version apart.
	digest uint64
	plain  []byte
}

// documents packs configurations and lists of upstreams for peers.
type documents struct {
	mu sync.Mutex
	// versions are the last versions in force, the newest last.
	versions []document
	// packed holds the newest document, by the version that its reader has; 0 for none.
	packed map[int64][]byte
	// packedList is the packed list of upstreams that has been the same since listSince.
	packedList []byte
	listSince  int64
}

// get returns the document of a configuration in force.
func (d *documents) get(cfg *routing.Config) (document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.getLocked(cfg)
}

func (d *documents) getLocked(cfg *routing.Config) (document, error) {
	if i := slices.IndexFunc(d.versions, func(one document) bool { return one.version == cfg.Version }); i >= 0 {
		return d.versions[i], nil
	}
	plain, err := cbor.Marshal(cfg)
	if err != nil {
		return document{}, errors.Annotatef(err, "encode configuration %d", cfg.Version)
	}
	return d.add(cfg.Version, plain), nil
}

// add keeps a document, and forgets the oldest.
func (d *documents) add(version int64, plain []byte) document {
	doc := document{version: version, digest: xxhash.Sum64(plain), plain: plain}
	d.versions = append(d.versions, doc)
	slices.SortFunc(d.versions, func(a, b document) int { return cmp.Compare(a.version, b.version) })
	if len(d.versions) > maxDocuments {
		d.versions = slices.Delete(d.versions, 0, 1)
	}
	d.packed = nil
	return doc
}

// pack gives cfg, which is in force, for a reader that has the document of a version with a
// digest. base is that version, or 0 when the whole document is given.
func (d *documents) pack(cfg *routing.Config, version int64, digest uint64) (packed []byte, base int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest, err := d.getLocked(cfg)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	var baseDoc []byte
	if i := slices.IndexFunc(d.versions, func(one document) bool { return one.version == version && one.digest == digest }); i >= 0 {
		baseDoc, base = d.versions[i].plain, version
	}
	if packed = d.packed[base]; packed != nil {
		return packed, base, nil
	}
	if packed, err = delta.Pack(newest.plain, baseDoc); err != nil {
		return nil, 0, errors.Trace(err)
	}
	if d.packed == nil {
		d.packed = make(map[int64][]byte)
	}
	d.packed[base] = packed
	return packed, base, nil
}

// unpack reads what a peer gave as the difference from version base; 0 for a whole document.
func (d *documents) unpack(packed []byte, base int64) (*routing.Config, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var from []byte
	if base != 0 {
		i := slices.IndexFunc(d.versions, func(one document) bool { return one.version == base })
		if i < 0 {
			return nil, errors.NotFoundf("configuration %d", base)
		}
		from = d.versions[i].plain
	}
	plain, err := delta.Unpack(packed, from)
	if err != nil {
		return nil, errors.Trace(err)
	}
	cfg := new(routing.Config)
	if err := cbor.Unmarshal(plain, cfg); err != nil {
		return nil, errors.Annotate(err, "decode configuration")
	}
	if !slices.ContainsFunc(d.versions, func(one document) bool { return one.version == cfg.Version }) {
		d.add(cfg.Version, plain)
	}
	return cfg, nil
}

// packList gives the list of upstreams that has been the same since a revision.
func (d *documents) packList(set *upstream.Set, since int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.packedList != nil && d.listSince == since {
		return d.packedList, nil
	}
	plain, err := cbor.Marshal(set.List())
	if err != nil {
		return nil, errors.Annotatef(err, "encode the list of upstreams since revision %d", since)
	}
	packed, err := delta.Pack(plain, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.packedList, d.listSince = packed, since
	return packed, nil
}

// unpackList reads a list of upstreams.
func unpackList(packed []byte) ([]upstream.Instance, error) {
	plain, err := delta.Unpack(packed, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var list []upstream.Instance
	return list, errors.Annotate(cbor.Unmarshal(plain, &list), "decode the list of upstreams")
}
