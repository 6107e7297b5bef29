package once

import "time"

// Options bound a Book. Zero fields take the defaults.
type Options struct {
	// MaxBody is the largest answer stored for replay, in bytes.
	MaxBody int
	// Window is how long the first call of a batch waits for others.
	Window time.Duration
	// MaxBatch is the most rows in one transaction.
	MaxBatch int
	// TxnsPerSecond is this router's part of the fleet's budget of writes; see Book.SetRate.
	TxnsPerSecond float64
	// SettleEvery is how long finished calls wait to be written together.
	SettleEvery time.Duration
	// MaxQueued bounds calls that wait to be recorded, MaxSettling finished ones.
	MaxQueued   int
	MaxSettling int
	// Timeout bounds one operation of the table.
	Timeout time.Duration
	// A row is kept for KeepEpochs whole epochs of EpochLength after its last write.
	EpochLength time.Duration
	KeepEpochs  uint64
	// Sweeps says whether this router removes old rows now; a few of the fleet should.
	Sweeps func() bool
}

// Defaults of Options.
const (
	DefaultMaxBody       = 4 << 10
	DefaultWindow        = 3 * time.Millisecond
	DefaultMaxBatch      = 64
	DefaultTxnsPerSecond = 25
	DefaultSettleEvery   = 500 * time.Millisecond
	DefaultMaxQueued     = 1024
	DefaultMaxSettling   = 4096
	DefaultTimeout       = time.Second
	DefaultEpochLength   = time.Hour
	DefaultKeepEpochs    = 24
)

func (o Options) withDefaults() Options {
	o.MaxBody = positive(o.MaxBody, DefaultMaxBody)
	o.Window = positive(o.Window, DefaultWindow)
	o.MaxBatch = positive(o.MaxBatch, DefaultMaxBatch)
	o.TxnsPerSecond = positive(o.TxnsPerSecond, DefaultTxnsPerSecond)
	o.SettleEvery = positive(o.SettleEvery, DefaultSettleEvery)
	o.MaxQueued = positive(o.MaxQueued, DefaultMaxQueued)
	o.MaxSettling = positive(o.MaxSettling, DefaultMaxSettling)
	o.Timeout = positive(o.Timeout, DefaultTimeout)
	o.EpochLength = positive(o.EpochLength, DefaultEpochLength)
	o.KeepEpochs = positive(o.KeepEpochs, DefaultKeepEpochs)
	if o.Sweeps == nil {
		o.Sweeps = func() bool { return false }
	}
	return o
}

type number interface {
	~int | ~int64 | ~uint64 | ~float64
}

func positive[T number](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
