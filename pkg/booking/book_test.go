package booking

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ask(offers ...Offer) Ask { return Ask{MaxPauseMs: Millis(maxPause), Offers: offers} }

func engine(id string, cost, prefill int) Offer {
	return Offer{Instance: id, Life: 1, CostMs: cost, MaxWaitMs: 500, PrefillMs: prefill}
}

// Guards against routers that all send a prompt to the engine which looked idle to each of them.
func TestPromptsOfManyRoutersAreSpreadOverEngines(t *testing.T) {
	b := NewBook(DefaultRunShare)
	booked := make(map[int]int)
	for range 8 {
		booked[b.Decide(ask(engine("a", 0, 100), engine("b", 1, 100), engine("c", 2, 100), engine("d", 3, 100)), start).Offer]++
	}
	require.Equal(t, map[int]int{0: 2, 1: 2, 2: 2, 3: 2}, booked)
}

func TestOrganisationsOverTheirShareWaitFirst(t *testing.T) {
	b := NewBook(DefaultRunShare)
	b.Decide(ask(engine("a", 0, 120)), start)
	over := ask(engine("a", 0, 60))
	over.OverShare = true
	require.Equal(t, Answer{Offer: 0, DelayMs: 170}, b.Decide(over, start), "a run of 160 ms is left to those within their share")
	other := NewBook(DefaultRunShare)
	other.Decide(ask(engine("a", 0, 120)), start)
	require.Equal(t, Answer{Offer: 0}, other.Decide(ask(engine("a", 0, 60)), start))
}

func TestNobodyIsBookedWhoWouldBeLate(t *testing.T) {
	b := NewBook(DefaultRunShare)
	b.Decide(ask(engine("a", 0, 900)), start)
	require.Equal(t, Answer{Offer: None, DelayMs: 450}, b.Decide(ask(engine("a", 0, 50)), start), "in 450 ms the wait is 500 ms")
	require.Equal(t, Answer{Offer: 1}, b.Decide(ask(engine("a", 0, 50), engine("b", 300, 50)), start))
}

func TestTheQueueThatRoutersKnowCounts(t *testing.T) {
	b := NewBook(DefaultRunShare)
	busy := engine("a", 0, 50)
	busy.QueueMs = 200
	require.Equal(t, 1, b.Decide(ask(busy, engine("b", 100, 50)), start).Offer)
}

// Guards against a keeper that fails or books nonsense for asks that are malformed.
func TestMalformedAsksBookNothing(t *testing.T) {
	many := make([]Offer, MaxOffers+1)
	for i := range many {
		many[i] = engine("a", 0, 1)
	}
	b := NewBook(DefaultRunShare)
	for name, a := range map[string]Ask{
		"no offers": {MaxPauseMs: 400}, "too many offers": ask(many...), "no pause": {Offers: []Offer{engine("a", 0, 1)}},
		"negative prefill": ask(engine("a", 0, -1)), "endless prefill": ask(engine("a", 0, maxMs+1)),
		"endless cost": ask(engine("a", maxMs+1, 1)), "no instance": ask(engine("", 0, 1)),
		"negative queue": ask(Offer{Instance: "a", QueueMs: -1}), "negative wait": ask(Offer{Instance: "a", MaxWaitMs: -1}),
	} {
		require.Equal(t, Answer{Offer: notDecided}, b.Decide(a, start), name)
	}
	require.Zero(t, b.Calendars())
}

// Guards against calendars that fill a keeper's memory.
func TestCalendarsAreBounded(t *testing.T) {
	b := NewBook(DefaultRunShare)
	for i := range maxCalendars + 10 {
		o := engine("a", 0, 1)
		o.Life = uint32(i)
		b.Decide(ask(o), start)
	}
	require.LessOrEqual(t, b.Calendars(), maxCalendars)
	b.Prune(start.Add(pruneAfter + time.Second))
	require.Zero(t, b.Calendars())
}

// Guards against a new life of an engine that inherits the runs of the one before.
func TestLivesHaveCalendarsOfTheirOwn(t *testing.T) {
	b := NewBook(DefaultRunShare)
	b.Decide(ask(engine("a", 0, 400)), start)
	next := engine("a", 0, 50)
	next.Life = 2
	require.Equal(t, Answer{Offer: 0}, b.Decide(ask(next), start))
}

// Guards against a keeper with turns switched off that makes the prompts of others wait for each other.
func TestAKeeperWithoutTurnsDecidesNothing(t *testing.T) {
	a := ask(engine("a", 0, 50))
	require.Equal(t, Answer{Offer: notDecided}, NewBook(0).Decide(a, start))
	require.False(t, Answer{Offer: notDecided}.answers(&a))
}

func TestASettingThatChangesAppliesToTheNextBooking(t *testing.T) {
	b := NewBook(DefaultRunShare)
	b.Decide(ask(engine("a", 0, 150)), start)
	b.SetRunShare(0.3)
	require.Equal(t, Answer{Offer: 0, DelayMs: 200}, b.Decide(ask(engine("a", 0, 50)), start))
}
