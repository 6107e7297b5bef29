// Package journal records what a stand-in upstream ran, so that a checker can tell
// lost, doubled and cut requests. It outlives a simulated crash of the upstream.
package journal

import (
	"sync"
	"time"
)

// maxAttempts bounds the journal; further attempts are only counted.
const maxAttempts = 500_000

// State says how an attempt stands.
type State string

// States of an attempt.
const (
	Running   State = "running"
	Finished  State = "finished"
	Cancelled State = "cancelled"
	Crashed   State = "crashed"
)

// Attempt is one request that got a slot of the upstream.
type Attempt struct {
	Attempt string `json:"attempt"`
	Org     string `json:"org,omitempty"`
	// Content is a hash of the prompt or of the body, in hexadecimal.
	Content string `json:"content"`
	// Marker is the caller's own mark of the request: the same for all its attempts.
	Marker string `json:"marker,omitempty"`
	// Key is the Idempotency-Key received.
	Key     string    `json:"key,omitempty"`
	Tokens  int       `json:"tokens"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
	State   State     `json:"state"`
}

// Report is the whole journal.
type Report struct {
	Attempts []Attempt   `json:"attempts"`
	Crashes  []time.Time `json:"crashes,omitempty"`
	// Dropped counts attempts that the journal has no room for.
	Dropped int `json:"dropped,omitempty"`
}

// Journal collects attempts. It is safe for use by many goroutines.
type Journal struct {
	mu       sync.Mutex
	attempts []Attempt
	crashes  []time.Time
	dropped  int
}

// Entry names an attempt in the journal.
type Entry int

// noEntry stands for an attempt that was dropped.
const noEntry Entry = -1

// Start records an attempt that begins to run.
func (j *Journal) Start(a Attempt) Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.attempts) >= maxAttempts {
		j.dropped++
		return noEntry
	}
	a.State = Running
	j.attempts = append(j.attempts, a)
	return Entry(len(j.attempts) - 1)
}

// Progress records the tokens done so far.
func (j *Journal) Progress(e Entry, tokens int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e != noEntry {
		j.attempts[e].Tokens = tokens
	}
}

// End records how an attempt ended.
func (j *Journal) End(e Entry, state State, tokens int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e == noEntry {
		return
	}
	a := &j.attempts[e]
	a.State, a.Tokens, a.Ended = state, tokens, at
}

// Crash records a crash of the upstream.
func (j *Journal) Crash(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, at)
}

// Report returns a copy of the journal.
func (j *Journal) Report() Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Report{
		Attempts: append([]Attempt{}, j.attempts...),
		Crashes:  append([]time.Time(nil), j.crashes...),
		Dropped:  j.dropped,
	}
}
