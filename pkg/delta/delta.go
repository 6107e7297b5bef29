package delta

import (
	"math/bits"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// MaxDocument bounds a document, in bytes.
	MaxDocument = 8 << 20
	// minWindow is the smallest window of the codec, in bytes.
	minWindow = 16 << 10
	// dictionaryID names the base in the frame.
	dictionaryID = 1
)

// ErrTooLarge says that a document is over MaxDocument.
const ErrTooLarge = errors.ConstError("document too large")

// Pack gives document for a reader that has base; nil for one that has nothing.
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

// window is the smallest power of two that holds n bytes.
func window(n int) int { return max(minWindow, min(MaxDocument, 1<<bits.Len(uint(n)))) }

// Unpack gives the document that was packed for a reader of base. It never inflates past
// MaxDocument.
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
