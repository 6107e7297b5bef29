package once

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// state is how far a recorded call is.
type state uint8

const (
	statePending   state = iota // recorded; it may be running, or its router is gone
	stateRan                    // it ran; the answer may be stored
	stateUnsettled              // it may have run, nobody will ever know
	stateReleased               // no byte of it reached an upstream: the key is free
)

// record is the value of a row.
type record struct {
	Attempt string `cbor:"1,keyasint"`
	Content uint64 `cbor:"2,keyasint"`
	State   state  `cbor:"3,keyasint,omitempty"`
	// Epoch is the epoch of the last write, for retention.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	// Status and Body are the answer. HasBody is false when it was too large to store.
	Status  int    `cbor:"5,keyasint,omitempty"`
	Body    []byte `cbor:"6,keyasint,omitempty"`
	HasBody bool   `cbor:"7,keyasint,omitempty"`
}

const rowPrefix = "once/"

// rowKey hashes the caller's key, which may be long and holds what the caller likes.
func rowKey(org, key string) string {
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + url.PathEscape(org) + "/" + hex.EncodeToString(sum[:])
}

func (r record) encode() ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, errors.Annotate(err, "encode idempotency record")
}

func decodeRecord(b []byte) (record, error) {
	var r record
	err := cbor.Unmarshal(b, &r)
	return r, errors.Annotate(err, "decode idempotency record")
}
