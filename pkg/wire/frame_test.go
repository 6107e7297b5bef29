package wire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A newer router sends a key that this one doesn't know. The fleet is replaced host by
// host, so the rest of the frame must be read as before.
func TestUnknownKeysAreIgnored(t *testing.T) {
	// {1: [{1: 7, 2: "models/0", 99: true}], 98: 1}
	frame := []byte("\xa2\x01\x81\xa3\x01\x07\x02\x68models/0\x18\x63\xf5\x18\x62\x01")
	f, err := Decode(frame)
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Claims) != 1 || f.Claims[0].ID != 7 || f.Claims[0].Cell != "models/0" {
		t.Fatalf("got %+v", f)
	}
}

// A frame is read as it was written; what is sent of a claim decides where it is charged.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Frame{Life: Incarnation(rapid.Uint64().Draw(t, "life"))}
		for range rapid.IntRange(0, 5).Draw(t, "claims") {
			f.Claims = append(f.Claims, Claim{
				ID:      ClaimID(rapid.Uint64().Draw(t, "id")),
				Cell:    CellID(rapid.String().Draw(t, "cell")),
				Org:     rapid.String().Draw(t, "org"),
				Content: rapid.Uint64().Draw(t, "content"),
				AgeMs:   rapid.Uint32().Draw(t, "age"),
			})
		}
		for range rapid.IntRange(0, 5).Draw(t, "dones") {
			f.Dones = append(f.Dones, Done{
				ID:      ClaimID(rapid.Uint64().Draw(t, "id")),
				Cost:    rapid.Float64Range(0, 1e9).Draw(t, "cost"),
				Outcome: Outcome(rapid.IntRange(0, int(OutcomeDied)).Draw(t, "outcome")),
			})
		}
		data, err := Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(f, got); d != "" {
			t.Fatal(d)
		}
	})
}

// Bytes of a peer must never end the process or make it allocate without bound.
func FuzzDecode(f *testing.F) {
	data, err := Encode(&Frame{Claims: []Claim{{ID: 1, Cell: "models/0", Org: "a"}}, Pings: []Ping{{Nonce: 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(frame); err != nil {
			t.Fatalf("a decoded frame can't be encoded: %v", err)
		}
	})
}
