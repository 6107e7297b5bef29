package engine

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Defaults of an engine.
const (
	DefaultSlots  = 8
	DefaultStep   = 5 * time.Millisecond
	defaultGrace  = 2 * time.Second
	defaultRevive = time.Second
	defaultLag    = 500 * time.Millisecond
)

// Bounds of an engine.
const (
	// maxWaiting bounds the requests that wait inside the engine.
	maxWaiting = 1024
	// maxKept bounds the ended attempts whose stream can still be resumed.
	maxKept = 1024
	// maxAnswer bounds an answer, in tokens.
	maxAnswer = 8192
	// maxSlots bounds what the faults may set.
	maxSlots = 4096
	// cacheBlocks bounds the prefix cache, in blocks of blockBytes.
	cacheBlocks = 4096
)

// Options describe an engine.
type Options struct {
	Name string
	// Slots is the number of requests that run at once; 0 takes DefaultSlots.
	Slots int
	// Step is the time of one step with a batch of one; 0 takes DefaultStep.
	Step time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// Weights is asked before a model, adapter or revision is loaded; nil: nobody is.
	Weights platform.Weights
	// OnCrash is told that the engine crashed and when it comes back; it must not
	// block. nil: only the requests break off.
	OnCrash func(revive time.Duration)
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Step <= 0 {
		o.Step = DefaultStep
	}
	return o
}
