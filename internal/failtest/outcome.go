package failtest

import (
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Whole says that the caller got the whole answer.
func Whole(r load.Result) bool { return r.Outcome == load.Whole }

// Broken says that the connection broke, before or within the answer.
func Broken(r load.Result) bool { return r.Outcome == load.Broken || r.Outcome == load.Lost }

// NotRun says that the caller was refused, and told that nothing ran.
func NotRun(r load.Result) bool { return r.Outcome == load.Refused && r.Verdict == verdict.NotRun }

// MayHaveRun says that the caller was refused, and told that the request may have run.
func MayHaveRun(r load.Result) bool {
	return r.Outcome == load.Refused && r.Verdict == verdict.MayHaveRun
}

// Code returns a test for refusals with a code.
func Code(code verdict.Code) func(load.Result) bool {
	return func(r load.Result) bool { return r.Outcome == load.Refused && r.Code == string(code) }
}
