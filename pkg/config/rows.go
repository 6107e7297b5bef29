package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Keys in the table. Versions are zero padded, so that key order is version order.
const (
	headKey        = "config/head"
	logPrefix      = "config/log/"
	snapshotPrefix = "config/snapshot/"
	opPrefix       = "config/op/"
)

func logKey(version uint64) string      { return fmt.Sprintf("%s%020d", logPrefix, version) }
func snapshotKey(version uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, version) }
func opKey(id string) string            { return opPrefix + id }

// Head is the head row: the newest version and the operation that made it.
type Head struct {
	Version uint64 `json:"version"`
	OpID    string `json:"opId"`
}

// Entry is one accepted change in the log.
type Entry struct {
	Version uint64 `json:"version"`
	OpID    string `json:"opId"`
	// At is the accepting router's clock, for people: nothing is decided by it.
	At time.Time `json:"at"`
}

// opRow lets a write recognise itself after its answer was lost.
type opRow struct {
	Version uint64 `json:"version"`
	// Digest tells the same write sent again from another one under the same ID.
	Digest string `json:"digest"`
}

func decodeRow[T any](row platform.Row) (T, error) {
	var v T
	err := json.Unmarshal(row.Value, &v)
	return v, errors.Annotatef(err, "row %s", row.Key)
}

// encoder collects puts and keeps the first error.
type encoder struct {
	puts []platform.Put
	err  error
}

func (e *encoder) json(key string, v any) {
	b, err := json.Marshal(v)
	e.bytes(key, b, err)
}

func (e *encoder) snapshot(s *resource.Snapshot) {
	b, err := resource.Encode(s)
	e.bytes(snapshotKey(s.Version), b, err)
}

func (e *encoder) bytes(key string, b []byte, err error) {
	if err != nil && e.err == nil {
		e.err = errors.Trace(err)
	}
	e.puts = append(e.puts, platform.Put{Key: key, Value: b})
}

func (e *encoder) delete(keys ...string) {
	for _, k := range keys {
		e.puts = append(e.puts, platform.Put{Key: k, Delete: true})
	}
}
