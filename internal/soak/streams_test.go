package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

func streamAttempt(first *attempt, id string, versions ...string) *attempt {
	a := &attempt{first: first, Call: platformtest.Call{ID: id, Path: platformtest.PathStream, Events: 9}, router: &router{}}
	a.answer.Software = versions
	return a
}

// Guards against a check that misses a stream of two versions, in one answer or over its caller's tries.
func TestStreamsOfTwoVersionsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		first, again []string
		mixed        int
	}{
		"one version":             {[]string{"1", "1"}, []string{"1"}, 0},
		"within one answer":       {[]string{"1", "2"}, []string{"1"}, 1},
		"over the caller's tries": {[]string{"1", "1"}, []string{"2", "2"}, 1},
	} {
		first := streamAttempt(nil, "a", c.first...)
		checker := &checker{world: &world{journal: new(journal)}, began: time.Now()}
		s := checker.checkStreams([]*attempt{first, streamAttempt(first, "a-1", c.again...)})
		require.Equal(t, c.mixed, s.Mixed, name)
		require.Len(t, checker.findings, c.mixed, name)
	}
}

// Guards against callers that leave, or resume, whose requests nobody judges any more.
func TestCallersThatLeaveAndResumeAreJudged(t *testing.T) {
	well := time.Now()
	left := streamAttempt(nil, "a")
	left.LeaveAfter = 2
	require.False(t, left.served(), "it got nothing")
	left.answer.Events = []int{1, 2}
	require.True(t, left.served())

	left.from = well.Add(time.Second)
	again := streamAttempt(left, "a-1")
	again.Resumes, again.able = "a", true
	require.False(t, again.truthfullyRefused(well))
	again.able = false
	require.True(t, again.truthfullyRefused(well))
}
