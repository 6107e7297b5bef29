package booking

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// fakeFleet has the keepers "a" and "b"; "self" is the router that asks.
type fakeFleet struct {
	routers []Router
	answer  func(ctx context.Context, addr string) (Answer, error)
	pending atomic.Int64

	mu    sync.Mutex
	asked []string
}

func (f *fakeFleet) HasKeepers() bool { return len(f.routers) > 0 }

func (f *fakeFleet) Keepers(time.Time) ([]Router, string) { return f.routers, "self" }

func (f *fakeFleet) AskKeeper(ctx context.Context, addr string, _ Ask) (Answer, error) {
	f.pending.Add(1)
	defer f.pending.Add(-1)
	f.mu.Lock()
	f.asked = append(f.asked, addr)
	f.mu.Unlock()
	return f.answer(ctx, addr)
}

func two() *fakeFleet {
	return &fakeFleet{routers: []Router{{"a", "zone"}, {"b", "zone"}},
		answer: func(context.Context, string) (Answer, error) { return Answer{Offer: 0, DelayMs: 5}, nil }}
}

const patience = 30 * time.Millisecond

func newClient(f Fleet) *Client {
	return NewClient(f, NewBook(DefaultRunShare), &log.Logger{Handler: discard.New(), Level: log.InfoLevel})
}

func TestTheKeeperAnswers(t *testing.T) {
	f := two()
	r := newClient(f).Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience)
	require.True(t, r.Asked)
	require.Equal(t, Answer{Offer: 0, DelayMs: 5}, r.Answer)
	require.Equal(t, []string{r.Keeper}, f.asked)
}

func TestARouterThatKeepsTheCalendarsAsksNobody(t *testing.T) {
	f := two()
	f.routers = []Router{{"self", "zone"}}
	require.Equal(t, Result{Answer: Answer{Offer: 0}, Asked: true, Keeper: "self"}, newClient(f).Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience))
	require.Empty(t, f.asked)
}

func TestWithoutKeepersNothingIsBooked(t *testing.T) {
	f := two()
	f.routers = nil
	require.Equal(t, Result{}, newClient(f).Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience))
}

// Guards against requests that wait for a keeper which was killed, frozen or cut off.
func TestASilentKeeperDelaysNobodyForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := two()
		f.answer = func(ctx context.Context, _ string) (Answer, error) {
			<-ctx.Done()
			return Answer{}, ctx.Err()
		}
		d := newClient(f)
		began := time.Now()
		first := d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience)
		require.False(t, first.Asked)
		require.Equal(t, patience, time.Since(began))
		second := d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience)
		require.NotEqual(t, first.Keeper, second.Keeper, "the other router takes its place")
		require.Equal(t, Result{}, d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience), "both are avoided")
		time.Sleep(avoidFor)
		require.Equal(t, first.Keeper, d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Keeper, "it is tried again")
		time.Sleep(askTimeout)
		synctest.Wait()
		require.Zero(t, f.pending.Load(), "no ask is left")
	})
}

// Guards against a late answer that cancels its exchange, as that closes the connection to the keeper.
func TestALateAnswerIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := two()
		var ended error
		f.answer = func(ctx context.Context, _ string) (Answer, error) {
			time.Sleep(2 * patience)
			ended = ctx.Err()
			return Answer{Offer: 0}, nil
		}
		require.False(t, newClient(f).Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Asked)
		time.Sleep(2 * patience)
		synctest.Wait()
		require.NoError(t, ended)
	})
}

// Guards against a router of the build before, or a faulty one, whose answer names an engine that wasn't offered.
func TestAnswersThatMakeNoSenseCountAsNone(t *testing.T) {
	for _, answer := range []Answer{{Offer: 1}, {Offer: -2}, {Offer: 0, DelayMs: -1}, {Offer: 0, DelayMs: maxMs + 1}, {Offer: 0, DelayMs: 501}, {Offer: notDecided}} {
		f := two()
		f.answer = func(context.Context, string) (Answer, error) { return answer, nil }
		require.False(t, newClient(f).Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Asked, "%+v", answer)
	}
	f := two()
	f.answer = func(context.Context, string) (Answer, error) { return Answer{}, errors.New("404 Not Found") }
	require.False(t, newClient(f).Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Asked)
}

// Guards against blaming a keeper whose answer came while this router had no processor.
func TestAnAnswerThatIsThereCountsHoweverLateThisRouterIs(t *testing.T) {
	replies := make(chan reply, 1)
	_, err := lastLook(replies)
	require.ErrorIs(t, err, errNoAnswer)
	replies <- reply{answer: Answer{Offer: 1}}
	answer, err := lastLook(replies)
	require.NoError(t, err)
	require.Equal(t, 1, answer.Offer)
}

// Guards against asking a router of the build before, or one that has ended, again each second.
func TestAKeeperThatRefusesIsAvoidedForLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := two()
		f.answer = func(context.Context, string) (Answer, error) { return Answer{}, errors.New("404 Not Found") }
		d := newClient(f)
		keeper := d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Keeper
		time.Sleep(avoidFor)
		require.NotEqual(t, keeper, d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Keeper)
		time.Sleep(avoidFailedFor)
		require.Equal(t, keeper, d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Keeper)
	})
}

// Guards against a route with a short objective, whose patience blames keepers for the way to them.
func TestKeepersHaveTheTimeOfTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := two()
		f.answer = func(context.Context, string) (Answer, error) {
			time.Sleep(minPatience / 2)
			return Answer{Offer: 0}, nil
		}
		require.True(t, newClient(f).Book(t.Context(), "zone", ask(engine("e", 0, 50)), time.Millisecond).Asked)
	})
}

// Guards against a keeper that is avoided although it was the caller who left.
func TestACallerThatLeavesBlamesNoKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := two()
		f.answer = func(context.Context, string) (Answer, error) {
			time.Sleep(patience)
			return Answer{Offer: 0}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		d := newClient(f)
		time.AfterFunc(time.Millisecond, cancel)
		require.False(t, d.Book(ctx, "zone", ask(engine("e", 0, 50)), patience).Asked)
		require.Empty(t, d.avoided)
		time.Sleep(patience)
	})
}

// Guards against slow keepers that gather more and more asks.
func TestAsksUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := two()
		f.answer = func(ctx context.Context, _ string) (Answer, error) {
			<-ctx.Done()
			return Answer{}, ctx.Err()
		}
		d := newClient(f)
		d.pending = maxPending
		began := time.Now()
		require.False(t, d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience).Asked)
		require.Zero(t, time.Since(began), "nobody waits")
		require.Empty(t, d.avoided)
	})
}

func TestStatsCountWhatBecameOfAsks(t *testing.T) {
	f := two()
	d := newClient(f)
	d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience)
	f.answer = func(context.Context, string) (Answer, error) { return Answer{Offer: None}, nil }
	d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience)
	f.routers = nil
	d.Book(t.Context(), "zone", ask(engine("e", 0, 50)), patience)
	s := d.Stats()
	require.Equal(t, []int64{0, 1, 1, 0, 1}, []int64{s.AtOnce, s.Later, s.NoRoom, s.Unanswered, s.Unasked})
	require.Equal(t, 5*time.Millisecond, s.Delayed)
	require.EqualValues(t, 3, s.Asks())
}
