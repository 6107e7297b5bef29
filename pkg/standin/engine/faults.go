package engine

import (
	"time"

	"github.com/juju/errors"
)

// Faults are the failures switched on by PUT /admin/faults. The zero value has none.
type Faults struct {
	// StepMs replaces the step time, in milliseconds; 0 keeps it.
	StepMs float64 `json:"stepMs"`
	// Slots replaces the number of slots; 0 keeps it.
	Slots int `json:"slots"`
	// CrashOn is a substring of the prompts that crash the engine while they run.
	CrashOn string `json:"crashOn"`
	// ReviveMs is how long a crashed engine is away, in milliseconds; 0: 1000.
	ReviveMs int `json:"reviveMs"`
	// Garbage puts bytes that aren't JSON into each answer.
	Garbage bool `json:"garbage"`
	// Truncate ends each answer after half its tokens: a stream cleanly but without
	// its last events, a whole answer short of its declared length.
	Truncate bool `json:"truncate"`
	// Surplus sends more after the end of each answer.
	Surplus bool `json:"surplus"`
	// WrongAttempt answers under another attempt's ID.
	WrongAttempt bool `json:"wrongAttempt"`
	// Refuse turns each new request away with 503, before it runs.
	Refuse bool `json:"refuse"`
	// Leaving says in each answer that the engine leaves.
	Leaving bool `json:"leaving"`
	// BackoffSeconds turns each new request away with 503, and wants none for so long; 0: not.
	BackoffSeconds int `json:"backoffSeconds"`
	// HangMs is how long each new request is held before anything happens, in milliseconds.
	HangMs int `json:"hangMs"`
	// BreakAfter closes the connection of each new stream after so many events, while
	// the attempt goes on and can be resumed; 0: never.
	BreakAfter int `json:"breakAfter"`
	// ResumeGraceMs is how long an attempt goes on without a connection, in
	// milliseconds; 0: 2000.
	ResumeGraceMs int `json:"resumeGraceMs"`
	// LoadLagMs is the least age of the load report, in milliseconds; 0: 500.
	LoadLagMs int `json:"loadLagMs"`
	// HoldOrders is the model whose orders are held, as by a slow network: nothing of
	// them is looked at until the switches are set anew, and they don't end with their
	// sender's connection. Empty: none.
	HoldOrders string `json:"holdOrders"`
	// Endless is the part of each answer that has no end: "head", "body", or "events" for comments without
	// end. Empty: none.
	Endless string `json:"endless"`
}

// Check names a value that is out of range.
func (f Faults) Check() error {
	lowest := min(f.Slots, f.ReviveMs, f.HangMs, f.BreakAfter, f.ResumeGraceMs, f.LoadLagMs, f.BackoffSeconds)
	if lowest < 0 || f.StepMs < 0 {
		return errors.NotValidf("number under 0")
	}
	if f.Slots > maxSlots {
		return errors.NotValidf("slots over %d", maxSlots)
	}
	switch f.Endless {
	case "", endlessHead, endlessBody, endlessEvents:
		return nil
	}
	return errors.NotValidf("endless %q", f.Endless)
}

func (f Faults) revive() time.Duration { return millis(f.ReviveMs, defaultRevive) }

func (f Faults) grace() time.Duration { return millis(f.ResumeGraceMs, defaultGrace) }

func (f Faults) loadLag() time.Duration { return millis(f.LoadLagMs, defaultLag) }

func (f Faults) hang() time.Duration { return millis(f.HangMs, 0) }

func millis(n int, otherwise time.Duration) time.Duration {
	if n <= 0 {
		return otherwise
	}
	return time.Duration(n) * time.Millisecond
}
