package platform

import (
	"sort"
	"strings"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// maxList bounds the rows of one listing.
const maxList = 10_000

// rows is the table: rows by key, with their keys in order.
type rows struct {
	byKey map[string]platform.Row
	keys  []string
	// floor is the highest version of any deleted row. A row that is made anew starts
	// above it: otherwise a guard read before the deletion would hold again afterwards,
	// and a writer would overwrite a row that it has never seen.
	floor uint64
}

func newRows() *rows { return &rows{byKey: make(map[string]platform.Row)} }

// commit applies t whole, or reports false when a guard fails.
func (t *rows) commit(txn platform.Txn) bool {
	for _, g := range txn.Guards {
		if t.byKey[g.Key].Version != g.Version {
			return false
		}
	}
	for _, p := range txn.Puts {
		t.apply(p)
	}
	return true
}

func (t *rows) apply(p platform.Put) {
	old, exists := t.byKey[p.Key]
	if p.Delete {
		t.remove(old, exists)
		return
	}
	version := old.Version + 1
	if !exists {
		version = t.floor + 1
		t.insertKey(p.Key)
	}
	t.byKey[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: version}
}

func (t *rows) remove(row platform.Row, exists bool) {
	if !exists {
		return
	}
	t.floor = max(t.floor, row.Version)
	delete(t.byKey, row.Key)
	i := sort.SearchStrings(t.keys, row.Key)
	t.keys = append(t.keys[:i], t.keys[i+1:]...)
}

func (t *rows) insertKey(key string) {
	i := sort.SearchStrings(t.keys, key)
	t.keys = append(t.keys, "")
	copy(t.keys[i+1:], t.keys[i:])
	t.keys[i] = key
}

// list returns up to limit rows with the prefix whose key is above after.
func (t *rows) list(prefix, after string, limit int) []platform.Row {
	found := []platform.Row{}
	for i := sort.SearchStrings(t.keys, max(prefix, after)); i < len(t.keys) && len(found) < limit; i++ {
		key := t.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			found = append(found, t.byKey[key])
		}
	}
	return found
}
