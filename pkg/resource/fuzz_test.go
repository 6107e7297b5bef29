package resource_test

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// inflated returns CBOR in the form that snapshots are stored in.
func inflated(f *testing.F, plain []byte) []byte {
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		f.Fatal(err)
	}
	defer enc.Close()
	return enc.EncodeAll(plain, nil)
}

// FuzzDecode guards against a snapshot of another writer that ends the router which reads it: nested too deeply, with a
// number or a list that is too large.
func FuzzDecode(f *testing.F) {
	s := &resource.Snapshot{Version: 4, Organisations: []resource.Organisation{{Meta: meta("a"), Weight: 1}}}
	good, err := resource.Encode(s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	for _, value := range []any{map[string]any{"Version": 1e308}, []any{1}, nil, "x"} {
		plain, err := cbor.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(inflated(f, plain))
	}
	// Lists in lists, and a list and a text that claim the largest length.
	for _, plain := range []string{strings.Repeat("\x81", 60_000), "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", "\xa1\x01\x1b\xff\xff\xff\xff\xff\xff\xff\xff"} {
		f.Add(inflated(f, []byte(plain)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := resource.Decode(data)
		if err != nil {
			return
		}
		if err := got.Validate(); err != nil {
			t.Fatalf("an invalid snapshot was decoded: %v", err)
		}
	})
}

// FuzzParseJSON guards against a resource of an odd form that ends the router which an operator sends it to.
func FuzzParseJSON(f *testing.F) {
	for _, value := range []string{
		`{"kind":"upstream","name":"a"}`, `{"kind":7}`, `{"kind":"pool","name":"a","weight":1e400}`, `{"kind":"upstream","url":"http://127.0.0.1:65536"}`, "null", "[]", "\x00",
		strings.Repeat("[", 60_000), strings.Repeat(`{"kind":`, 9_000), `{"kind":"route","x":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`,
	} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := resource.ParseJSON(resource.KindUpstream, data)
		if err == nil && resource.RefOf(r).Kind == "" {
			t.Fatalf("a resource without a kind: %q", data)
		}
	})
}
