package once

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

const (
	org     = "celik"
	content = 42
)

// start runs a Book, a router's part of this package, until the test or stop ends it.
func start(t *testing.T, table platform.Table, o Options) (b *Book, stop func()) {
	b = New(table, o)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Run(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return b, stop
}

func requireRefusal(t *testing.T, err error, v verdict.Verdict, code verdict.Code) *verdict.Error {
	t.Helper()
	require.Error(t, err)
	e := verdict.From(err)
	require.Equal(t, v, e.Verdict, e.Error())
	require.Equal(t, code, e.Code, e.Error())
	return e
}

// faults plays a script, one fault for each commit, then none.
func faults(script ...platformtest.Fault) func(platform.Txn) platformtest.Fault {
	var mu sync.Mutex
	return func(platform.Txn) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if len(script) == 0 {
			return platformtest.FaultNone
		}
		f := script[0]
		script = script[1:]
		return f
	}
}

// A broker's quota confirmation is recorded, then its router dies before or after the
// first byte. The broker sends it again through another router: nobody can know, so it
// must hear "may have run" and not be run a second time.
func TestCrashAfterRecordIsNeverRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		first, stop := start(t, table, Options{})
		_, err := first.Begin(t.Context(), org, "k", content)
		require.NoError(t, err)
		stop()
		second, _ := start(t, table, Options{})
		_, err = second.Begin(t.Context(), org, "k", content)
		requireRefusal(t, err, verdict.MayHaveRun, verdict.CodeDuplicate)
	})
}

func TestFinishedCallsAreAnsweredFromTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{MaxBody: 4})
		finish := func(key string, end func(Ticket)) error {
			ticket, err := b.Begin(t.Context(), org, key, content)
			require.NoError(t, err)
			end(ticket)
			require.NoError(t, b.Flush(t.Context()))
			other, _ := start(t, table, Options{})
			_, err = other.Begin(t.Context(), org, key, content)
			return err
		}
		err := finish("short", func(k Ticket) { k.Ran(201, []byte("done")); k.NotRun() })
		var replay *Replay
		require.True(t, errors.As(err, &replay))
		require.Equal(t, Replay{Status: 201, Body: []byte("done")}, *replay)

		err = finish("long", func(k Ticket) { k.Ran(200, []byte("too long")) })
		requireRefusal(t, err, verdict.Ran, verdict.CodeDuplicate)
		err = finish("unknown", func(k Ticket) { k.MayHaveRun() })
		require.Zero(t, requireRefusal(t, err, verdict.MayHaveRun, verdict.CodeDuplicate).RetryAfter)
		require.NoError(t, finish("free", func(k Ticket) { k.NotRun() }))

		_, err = b.Begin(t.Context(), org, "short", content+1)
		require.Equal(t, 422, requireRefusal(t, err, verdict.NotRun, verdict.CodeDuplicate).Status)
		_, err = b.Begin(t.Context(), "izabal", "short", content)
		require.NoError(t, err, "another organisation's key is another call")
	})
}

// The table takes the row, or loses it, and its answer never comes. The call must run
// once all the same, and a second attempt must be told of the first.
func TestLostAnswersOfTheRecord(t *testing.T) {
	for _, script := range [][]platformtest.Fault{
		{platformtest.FaultUnheard},
		{platformtest.FaultLost},
		{platformtest.FaultLost, platformtest.FaultUnheard},
		{platformtest.FaultLate},
	} {
		synctest.Test(t, func(t *testing.T) {
			table := new(platformtest.Table)
			table.SetFault(faults(script...))
			b, _ := start(t, table, Options{})
			_, err := b.Begin(t.Context(), org, "k", content)
			require.NoError(t, err)
			require.Zero(t, table.DeliverLate())
			_, err = b.Begin(t.Context(), org, "k", content)
			requireRefusal(t, err, verdict.MayHaveRun, verdict.CodeDuplicate)
		})
	}
}

// All writes are held up on their way, the call is refused as not run, and only then
// the writes arrive. The caller's next try, here or at another router, must run: the
// attempt that owns the late row never did.
func TestLateRecordOfRefusedCallBlocksNobody(t *testing.T) {
	late := platformtest.FaultLate
	for name, arrive := range map[string]struct{ beforeRelease, elsewhere bool }{
		"before the release, same router":  {true, false},
		"before the release, other router": {true, true},
		"after the release, same router":   {false, false},
		"after the release, other router":  {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := new(platformtest.Table)
				table.SetFault(faults(late, late, late, late))
				b, _ := start(t, table, Options{})
				_, err := b.Begin(t.Context(), org, "k", content)
				requireRefusal(t, err, verdict.NotRun, verdict.CodeTableDown)
				if arrive.beforeRelease {
					require.Equal(t, 1, table.DeliverLate())
				}
				if !arrive.beforeRelease || arrive.elsewhere {
					require.NoError(t, b.Flush(t.Context()))
				}
				if !arrive.beforeRelease {
					require.Zero(t, table.DeliverLate(), "the released row must defeat late writes")
				}
				next := b
				if arrive.elsewhere {
					next, _ = start(t, table, Options{})
				}
				_, err = next.Begin(t.Context(), org, "k", content)
				require.NoError(t, err)
			})
		})
	}
}

// A key was freed; the writes of the attempt that wants it next are all held up, and it
// is refused as not run. If they land after its release found nothing to do, the key
// belongs for ever to an attempt that no other router knows never ran.
func TestLateTakeoverOfAFreeRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{})
		ticket, err := b.Begin(t.Context(), org, "k", content)
		require.NoError(t, err)
		ticket.NotRun()
		require.NoError(t, b.Flush(t.Context()))
		conflict, late := platformtest.FaultNone, platformtest.FaultLate
		table.SetFault(faults(conflict, late, late, late))
		_, err = b.Begin(t.Context(), org, "k", content)
		requireRefusal(t, err, verdict.NotRun, verdict.CodeTableDown)
		require.NoError(t, b.Flush(t.Context()))
		require.Zero(t, table.DeliverLate())
		other, _ := start(t, table, Options{})
		_, err = other.Begin(t.Context(), org, "k", content)
		require.NoError(t, err)
	})
}

// The caller hangs up while its record is on the way to the table and comes back at
// once. Nothing of the first try was dispatched, so the second must run, and only it.
func TestCallerLeavesDuringRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		hold := make(chan struct{})
		table.SetFault(func(platform.Txn) platformtest.Fault { <-hold; return platformtest.FaultNone })
		b, _ := start(t, table, Options{})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := b.Begin(ctx, org, "k", content)
		requireRefusal(t, err, verdict.NotRun, verdict.CodeCanceled)
		close(hold)
		_, err = b.Begin(t.Context(), org, "k", content)
		require.NoError(t, err)
		require.NoError(t, b.Flush(t.Context()))
		_, err = b.Begin(t.Context(), org, "k", content)
		requireRefusal(t, err, verdict.MayHaveRun, verdict.CodeDuplicate)
	})
}

// A release is held up on its way; the key was freed by its repetition, and a later
// attempt took it and runs. When the old release lands, it must not free the key.
func TestLateReleaseDoesNotFreeALaterAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{})
		ticket, err := b.Begin(t.Context(), org, "k", content)
		require.NoError(t, err)
		table.SetFault(faults(platformtest.FaultLate))
		ticket.NotRun()
		require.NoError(t, b.Flush(t.Context()))
		_, err = b.Begin(t.Context(), org, "k", content)
		require.NoError(t, err)
		require.Zero(t, table.DeliverLate())
		other, _ := start(t, table, Options{})
		_, err = other.Begin(t.Context(), org, "k", content)
		requireRefusal(t, err, verdict.MayHaveRun, verdict.CodeDuplicate)
	})
}

// The table is out. Calls are refused at once as not run, with a time to come back;
// what had ended before is written when the table is back.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{})
		ticket, err := b.Begin(t.Context(), org, "before", content)
		require.NoError(t, err)
		table.SetDown(true)
		ticket.Ran(200, []byte("kept"))
		begun := time.Now()
		_, err = b.Begin(t.Context(), org, "during", content)
		require.Positive(t, requireRefusal(t, err, verdict.NotRun, verdict.CodeTableDown).RetryAfter)
		require.Less(t, time.Since(begun), time.Second)
		restarted, _ := start(t, table, Options{})
		_, err = restarted.Begin(t.Context(), org, "during", content)
		requireRefusal(t, err, verdict.NotRun, verdict.CodeTableDown)
		<-time.After(10 * time.Minute)
		table.SetDown(false)
		require.NoError(t, b.Flush(t.Context()))
		_, err = b.Begin(t.Context(), org, "during", content)
		require.NoError(t, err)
		_, err = b.Begin(t.Context(), org, "before", content)
		var replay *Replay
		require.True(t, errors.As(err, &replay))
	})
}

// A class saves its progress at the same moment and one learner's browser repeats an
// old key. The other saves must not be refused with it, nor cost a write each.
func TestUsedKeyDoesNotFailItsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{})
		_, err := b.Begin(t.Context(), org, "0", content)
		require.NoError(t, err)
		before, _ := table.Counts()
		var wg sync.WaitGroup
		failed := make([]error, 40)
		for i := range failed {
			wg.Go(func() { _, failed[i] = b.Begin(t.Context(), org, fmt.Sprint(i%39), content) })
		}
		wg.Wait()
		refused := 0
		for _, err := range failed {
			if err != nil {
				requireRefusal(t, err, verdict.MayHaveRun, verdict.CodeDuplicate)
				refused++
			}
		}
		require.Equal(t, 2, refused, "the used key and its copy in the batch, nothing else")
		after, _ := table.Counts()
		require.LessOrEqual(t, after-before, 3)
	})
}
