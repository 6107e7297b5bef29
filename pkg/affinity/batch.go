package affinity

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// MaxBatch is the number of records that a row of the store holds.
	MaxBatch = 4096
	// keyBytes is the size of a key in a batch.
	keyBytes = 8
	// maxBatchGroups bounds the versions in a batch.
	maxBatchGroups = maxRegistered
	// maxBatchAhead is how far ahead of the store's clock a batch may have been written: more isn't explained by
	// the time that an answer takes.
	maxBatchAhead = time.Minute
)

// errBatch says that a batch is out of range.
const errBatch = errors.ConstError("the batch of records is out of range")

// batch is a row of records in the store.
type batch struct {
	// AsOfMs is when it was written, by the store's clock, in milliseconds, at the latest.
	AsOfMs int64        `cbor:"1,keyasint"`
	Groups []batchGroup `cbor:"2,keyasint"`
}

// batchGroup holds the streams of a version. Keys are in big-endian order, one after the other.
type batchGroup struct {
	_       struct{} `cbor:",toarray"`
	Version VersionID
	Keys    []byte
}

// EncodeBatch encodes records for a row that is written at now. There may be MaxBatch of them.
func EncodeBatch(list []Record, rd Reading, now time.Time) ([]byte, error) {
	if len(list) > MaxBatch {
		return nil, errBatch
	}
	groups := make(map[VersionID][]byte)
	for _, r := range list {
		groups[r.Version] = binary.BigEndian.AppendUint64(groups[r.Version], uint64(r.Key))
	}
	b := batch{AsOfMs: rd.latestMs(now)}
	for version, keys := range groups {
		b.Groups = append(b.Groups, batchGroup{Version: version, Keys: keys})
	}
	value, err := cbor.Marshal(b)
	return value, errors.Trace(err)
}

// decodeBatch decodes a row as rd read it.
func decodeBatch(value []byte, rd Reading) (*batch, error) {
	b := new(batch)
	if err := cbor.Unmarshal(value, b); err != nil {
		return nil, errors.Trace(err)
	}
	if b.age(rd) < -maxBatchAhead {
		return nil, errBatch
	}
	if err := b.check(); err != nil {
		return nil, err
	}
	return b, nil
}

// check reports whether the batch is one that EncodeBatch returns, whatever the time.
func (b *batch) check() error {
	if b.AsOfMs < 0 || len(b.Groups) > maxBatchGroups {
		return errBatch
	}
	records := 0
	for _, g := range b.Groups {
		if g.Version == unknownVersion || len(g.Keys)%keyBytes != 0 {
			return errBatch
		}
		records += len(g.Keys) / keyBytes
	}
	if records > MaxBatch {
		return errBatch
	}
	return nil
}

// age returns the age of the batch when it was read.
func (b *batch) age(rd Reading) time.Duration {
	return rd.Clock - time.Duration(b.AsOfMs)*time.Millisecond
}

// records returns the records of the batch.
func (b *batch) records() []Record {
	var list []Record
	for _, g := range b.Groups {
		for keys := g.Keys; len(keys) > 0; keys = keys[keyBytes:] {
			list = append(list, Record{Key: Key(binary.BigEndian.Uint64(keys)), Version: g.Version})
		}
	}
	return list
}
