package load

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Outcome says what the caller got.
type Outcome string

// Outcomes of a request.
const (
	// Whole is the whole answer, as long as it had to be.
	Whole Outcome = "whole"
	// Refused is an error answer with a verdict.
	Refused Outcome = "refused"
	// Cut is an answer that ended cleanly without being whole, or that isn't the
	// answer to this request.
	Cut Outcome = "cut"
	// Broken is a connection broken off in the middle of an answer.
	Broken Outcome = "broken"
	// Lost is no answer: no status line came before the connection broke or the
	// caller's patience ended.
	Lost Outcome = "lost"
	// Unsent is a connection that was refused: nothing was asked.
	Unsent Outcome = "unsent"
)

// Result is what the caller saw of one request.
type Result struct {
	Request
	Sent time.Time
	// First is when the first token came, Ended when the answer or the error was over.
	First, Ended time.Time
	// Gaps are the times between two tokens, of streams only.
	Gaps []time.Duration
	// Got counts the tokens that came.
	Got     int
	Outcome Outcome
	// Verdict, Status and Code are those of a refusal.
	Verdict verdict.Verdict
	Status  int
	Code    string
	// Fault describes an outcome other than Whole.
	Fault string
}

// FirstToken is the first token's time from the intended start, corrected for
// coordinated omission: a request that was sent late, because the caller was held
// up, counts its delay.
func (r Result) FirstToken() time.Duration { return r.First.Sub(r.Intended) }
