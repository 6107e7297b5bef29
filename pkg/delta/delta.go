package delta

import (
	"math/bits"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// MaxDocument is the maximum size of a document, in bytes.
	MaxDocument = 8 << 20
	// minWindow is the smallest window of the zstd codec, in bytes.
	minWindow = 16 << 10
	// dictionaryID identifies the base as the dictionary of a zstd frame.
	dictionaryID = 1
)

// ErrTooLarge is returned for a document larger than MaxDocument.
const ErrTooLarge = errors.ConstError("document too large")

// Pack compresses document for a receiver that has base, or nothing if base is nil.
func Pack(document, base []byte) ([]byte, error) {
	if len(document) > MaxDocument {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes", len(document))
	}
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window(len(document) + len(base)))}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Annotate(err, "pack document")
	}
	defer enc.Close()
	return enc.EncodeAll(document, nil), nil
}

// window returns the smallest power of two that holds n bytes, within the codec's limits.
func window(n int) int { return max(minWindow, min(MaxDocument, 1<<bits.Len(uint(n)))) }

// Unpack decompresses a document that was packed with base. It never inflates past MaxDocument.
func Unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxDocument)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Annotate(err, "unpack document")
	}
	defer dec.Close()
	document, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Annotate(err, "unpack document")
	}
	return document, nil
}
