package gatewayd

import (
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/pkg/gateway"
)

// FuzzLoadRefusals guards against a router that ends, or writes on without bound, as another writer's row of refusals
// is nested too deeply or holds numbers that are too large.
func FuzzLoadRefusals(f *testing.F) {
	for _, value := range []string{
		`[{"Content":7,"Crashes":[{"Upstream":1,"AgeMs":5,"Alone":true},{"Upstream":2,"AgeMs":9}],"Part":true,"Depth":3}]`,
		`[{"Content":1e400}]`, `[{"Content":-1}]`, `[{"Content":18446744073709551615,"Sound":9223372036854775807}]`,
		`[{"Content":1,"Crashes":[{"Upstream":1,"AgeMs":9223372036854775807},{"Upstream":2,"AgeMs":-9223372036854775808}]}]`,
		`[{"Content":1,"Part":true,"Depth":9223372036854775807,"Crashes":[{"Upstream":4294967295}]}]`, `[{"Content":1,"Crashes":[{"Upstream":4294967296}]}]`,
		"[" + strings.Repeat(`{"Content":2},`, 4000) + `{"Content":3}]`, `[{"Content":1,"Crashes":[` + strings.Repeat(`{"Upstream":1},`, 4000) + `{"Upstream":2}]}]`,
		strings.Repeat("[", 60_000), strings.Repeat(`{"a":`, 12_000), strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000), "null", "{}", "\x00",
	} {
		f.Add([]byte(value))
	}
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	f.Fuzz(func(t *testing.T, value []byte) {
		row := &refusalRow{value: value}
		k := &refusalKeeper{store: row, book: gateway.NewQuarantine(), ranking: onlyRouter{}, log: quiet, limit: patience.NewLimit(maxStoreTimeout)}
		if err := k.load(t.Context()); err != nil {
			t.Fatalf("an odd row is taken for a failure of the store: %v", err)
		}
		requireKept(t, k, row)
	})
}

// requireKept has what was loaded written, and loaded by another router.
func requireKept(t *testing.T, k *refusalKeeper, row *refusalRow) {
	if err := k.save(t.Context(), k.book.Serious()); err != nil || len(row.stored()) > maxRefusalBytes {
		t.Fatalf("%d bytes were written: %v", len(row.stored()), err)
	}
	k.book = gateway.NewQuarantine()
	if err := k.load(t.Context()); err != nil {
		t.Fatal(err)
	}
}
