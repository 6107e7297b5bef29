package affinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against rows with wrong dates after the store's clock was set, and against all records being written again
// without need.
func TestAClockThatWasSetIsNoticed(t *testing.T) {
	start := time.Unix(1000, 0)
	before := Reading{Sent: start, Received: start.Add(time.Second), Clock: time.Hour}
	require.Zero(t, before.SetSince(Reading{}), "the first reading")
	sent := start.Add(time.Minute)
	for _, c := range []struct{ apart, set time.Duration }{
		{59 * time.Second, 0}, {time.Minute, 0}, {61500 * time.Millisecond, 0}, {57500 * time.Millisecond, 0},
		{time.Minute + 40*time.Second, 39 * time.Second}, {-10 * time.Second, -69 * time.Second},
	} {
		rd := Reading{Sent: sent, Received: sent.Add(time.Second), Clock: before.Clock + c.apart}
		require.Equal(t, c.set, rd.SetSince(before), "the clock went on by %v in 59 to 61 s", c.apart)
	}
}

// Guards against rows that are left out as the store's clock was set, against odd rows that date all others, and against
// rows of long ago that are taken for new ones beside such as fit the clock.
func TestRowsThatDontFitTheClockAreDatedByTheNewest(t *testing.T) {
	f := newFixture()
	row := func(age time.Duration) BatchRow {
		value, err := EncodeBatch([]Record{{Key: 1, Version: 1}}, f.reading(), f.now.Add(-age))
		require.NoError(t, err)
		return BatchRow{Value: value}
	}
	odd := BatchRow{Value: []byte("what is this")}
	for name, c := range map[string]struct {
		rows []BatchRow
		age  time.Duration // of the newest row as dated
	}{
		"all fit":              {[]BatchRow{row(time.Second), row(30 * time.Second)}, time.Second},
		"one fits":             {[]BatchRow{row(10 * time.Minute), row(30 * time.Second), odd}, 30 * time.Second},
		"one of the future":    {[]BatchRow{row(-time.Hour), row(30 * time.Second)}, 30 * time.Second},
		"the clock went ahead": {[]BatchRow{row(10 * time.Minute), odd, row(10*time.Minute + 10*time.Second)}, 0},
		"the clock went back":  {[]BatchRow{odd, row(-time.Minute - 10*time.Second), row(-time.Hour)}, 0},
	} {
		rd, differs := f.reading().Redated(c.rows)
		require.Equal(t, c.age == 0, differs, name)
		newest := time.Hour
		for _, r := range c.rows {
			if b, err := decodeBatch(r.Value, rd); err == nil {
				newest = min(newest, b.age(rd).Round(time.Second))
			}
		}
		require.Equal(t, c.age, newest, name)
	}
	_, differs := f.reading().Redated([]BatchRow{odd})
	require.False(t, differs)
}
