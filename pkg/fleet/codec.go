package fleet

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Limits on what a message from another router may make this one allocate.
const (
	maxMessageBytes = 1 << 20 // bytes
	// maxUnread bounds what all messages that are being read take together, in bytes: one catalog of the
	// largest size beside reports.
	maxUnread        = 10 << 20
	maxArrayElements = 20_000
	maxNestedLevels  = 8
)

// ErrBadMAC says that a message does not come from a router of this fleet.
const ErrBadMAC = errors.ConstError("message authentication failed")

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxNestedLevels: maxNestedLevels, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// encode returns v in CBOR, preceded by its message authentication code.
func encode(v any, secret []byte) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(computeMAC(data, secret), data...), nil
}

// decode verifies the message authentication code and decodes the message into v.
func decode(data, secret []byte, v any) error {
	if len(data) < sha256.Size || !hmac.Equal(data[:sha256.Size], computeMAC(data[sha256.Size:], secret)) {
		return ErrBadMAC
	}
	return errors.Trace(decMode.Unmarshal(data[sha256.Size:], v))
}

func computeMAC(data, secret []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(data)
	return m.Sum(nil)
}
