package fleet

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Limits on what another router may make us allocate.
const (
	maxMessage = 1 << 20 // bytes
	maxArray   = 20_000
	maxNest    = 8
)

// ErrSeal says that a message does not come from a router of this fleet.
const ErrSeal = errors.ConstError("the seal is wrong")

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxArray, MaxNestedLevels: maxNest, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// encode gives v sealed with secret: the seal, then the message.
func encode(v any, secret []byte) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(seal(data, secret), data...), nil
}

// decode checks the seal and reads a message into v.
func decode(data, secret []byte, v any) error {
	if len(data) < sha256.Size || !hmac.Equal(data[:sha256.Size], seal(data[sha256.Size:], secret)) {
		return ErrSeal
	}
	return errors.Trace(decoding.Unmarshal(data[sha256.Size:], v))
}

func seal(data, secret []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(data)
	return m.Sum(nil)
}
