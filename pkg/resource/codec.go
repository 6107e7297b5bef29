package resource

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// Bounds of a snapshot, in bytes: MaxEncoded compressed, MaxDecoded inflated.
const (
	MaxEncoded = 256 << 10
	MaxDecoded = 8 << 20
)

// ErrTooLarge: the snapshot is over MaxEncoded or MaxDecoded.
const ErrTooLarge = errors.ConstError("configuration too large")

const (
	maxArray = 100_000
	maxNest  = 8
	// window bounds the memory that the codec holds beside the data, in bytes.
	window = 256 << 10
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArray,
		MaxNestedLevels:  maxNest,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the snapshot as compressed CBOR, the form of ConfigData and of the table.
func Encode(s *Snapshot) ([]byte, error) {
	plain, err := cbor.Marshal(s)
	if err != nil {
		return nil, errors.Annotate(err, "encode snapshot")
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Annotate(err, "compress snapshot")
	}
	defer enc.Close()
	out := enc.EncodeAll(plain, nil)
	if len(plain) > MaxDecoded || len(out) > MaxEncoded {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes, %d compressed", len(plain), len(out))
	}
	return out, nil
}

// Decode reads what Encode wrote and validates the whole snapshot. It never inflates
// past MaxDecoded: a few bytes that inflate to gigabytes would end the process.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) > MaxEncoded {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes compressed", len(b))
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDecoded), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errors.Annotate(err, "inflate snapshot")
	}
	defer dec.Close()
	plain, err := dec.DecodeAll(b, nil)
	if err != nil {
		return nil, errors.Annotate(err, "inflate snapshot")
	}
	s := new(Snapshot)
	if err := decMode.Unmarshal(plain, s); err != nil {
		return nil, errors.Annotate(err, "decode snapshot")
	}
	if err := s.Validate(); err != nil {
		return nil, errors.Annotatef(err, "snapshot %d", s.Version)
	}
	return s, nil
}
