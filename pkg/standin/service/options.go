package service

import (
	"time"

	"github.com/juju/errors"
)

// Defaults of a service.
const (
	DefaultCall   = 20 * time.Millisecond
	defaultRevive = time.Second
	// maxCalls bounds the calls that run at once.
	maxCalls = 4096
)

// Options describe a plain service.
type Options struct {
	Name string
	// Call is how long one call runs; 0 takes DefaultCall.
	Call time.Duration
	// OnCrash is told that the service crashed and when it comes back; it must not
	// block. nil: only the calls break off.
	OnCrash func(revive time.Duration)
}

// Faults are the failures switched on by PUT /admin/faults. The zero value has none.
type Faults struct {
	// CallMs replaces the time of a call, in milliseconds; 0 keeps it.
	CallMs int `json:"callMs"`
	// CrashOn is a substring of the bodies that crash the service when their call ends.
	CrashOn string `json:"crashOn"`
	// ReviveMs is how long a crashed service is away, in milliseconds; 0: 1000.
	ReviveMs int `json:"reviveMs"`
	// Refuse turns each new call away with 503, before it runs.
	Refuse bool `json:"refuse"`
	// HangMs is how long each new call is held before it runs, in milliseconds.
	HangMs int `json:"hangMs"`
	// LoseAnswers runs each call and closes its connection without an answer.
	LoseAnswers bool `json:"loseAnswers"`
	// Truncate breaks each answer off after half its declared length.
	Truncate bool `json:"truncate"`
	// WrongAttempt answers under another attempt's ID.
	WrongAttempt bool `json:"wrongAttempt"`
}

// Check names a value that is out of range.
func (f Faults) Check() error {
	if min(f.CallMs, f.ReviveMs, f.HangMs) < 0 {
		return errors.NotValidf("number under 0")
	}
	return nil
}

func (f Faults) revive() time.Duration {
	if f.ReviveMs <= 0 {
		return defaultRevive
	}
	return time.Duration(f.ReviveMs) * time.Millisecond
}

func (f Faults) call(otherwise time.Duration) time.Duration {
	if f.CallMs <= 0 {
		return otherwise
	}
	return time.Duration(f.CallMs) * time.Millisecond
}

func (f Faults) hang() time.Duration { return time.Duration(f.HangMs) * time.Millisecond }
