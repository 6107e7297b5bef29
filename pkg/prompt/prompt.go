// Package prompt describes the work of a request to a model engine.
package prompt

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a caller declares about its request.
type Prompt struct {
	Model string
	// Input is the number of prompt tokens.
	Input int
	// MaxOutput is the largest number of tokens to generate.
	MaxOutput int
	// ExpectedOutput is the caller's estimate of that number; 0 without one.
	ExpectedOutput int
	// Parts are the prompt's pieces in order. The last one belongs to the request alone.
	Parts []Part
}

// PlannedOutput is the number of generated tokens to plan with.
func (p *Prompt) PlannedOutput() int {
	if p.ExpectedOutput > 0 && p.ExpectedOutput < p.MaxOutput {
		return p.ExpectedOutput
	}
	return p.MaxOutput
}

// Size is the prompt's use of capacity: a prompt token counts once, a generated one twice.
func (p *Prompt) Size() float64 { return float64(p.Input + 2*p.PlannedOutput()) }

// SharedParts returns the parts that other requests may share.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
