package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Frame is all that went to one peer at one moment.
type Frame struct {
	Claims     []Claim      `cbor:"1,keyasint,omitempty"`
	Cancels    []Cancel     `cbor:"2,keyasint,omitempty"`
	Grants     []Grant      `cbor:"3,keyasint,omitempty"`
	Refusals   []Refusal    `cbor:"4,keyasint,omitempty"`
	Dones      []Done       `cbor:"5,keyasint,omitempty"`
	Reports    []Report     `cbor:"6,keyasint,omitempty"`
	States     []CellState  `cbor:"7,keyasint,omitempty"`
	Pings      []Ping       `cbor:"8,keyasint,omitempty"`
	Pongs      []Pong       `cbor:"9,keyasint,omitempty"`
	Suspicions []Suspicion  `cbor:"10,keyasint,omitempty"`
	Asks       []ConfigAsk  `cbor:"11,keyasint,omitempty"`
	Configs    []ConfigData `cbor:"12,keyasint,omitempty"`
	// Life is the sender's life, set with claims, cancels, dones and reports: a keeper
	// must not take a restarted router's claims for those of its earlier life, and
	// gossip of the restart may come later than they do.
	Life Incarnation `cbor:"13,keyasint,omitempty"`
}

// MaxFrame bounds an encoded frame, in bytes.
const MaxFrame = 4 << 20

// Limits on what a peer may make us allocate while decoding.
const (
	maxArray = 100_000
	maxMap   = 64
	maxNest  = 8
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArray,
		MaxMapPairs:      maxMap,
		MaxNestedLevels:  maxNest,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// encMode writes a number of units in the fewest bytes that hold it exactly: counts of
// tokens are whole numbers, which need a few.
var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the frame's bytes.
func Encode(f *Frame) ([]byte, error) {
	b, err := encMode.Marshal(f)
	if err != nil {
		return nil, errors.Annotate(err, "encode frame")
	}
	if len(b) > MaxFrame {
		return nil, errors.Errorf("frame of %d bytes is over the limit of %d", len(b), MaxFrame)
	}
	return b, nil
}

// Decode reads one frame. Unknown keys are ignored, so that a newer peer can be read.
func Decode(b []byte) (*Frame, error) {
	if len(b) > MaxFrame {
		return nil, errors.Errorf("frame of %d bytes is over the limit of %d", len(b), MaxFrame)
	}
	f := new(Frame)
	if err := decMode.Unmarshal(b, f); err != nil {
		return nil, errors.Annotate(err, "decode frame")
	}
	return f, nil
}
