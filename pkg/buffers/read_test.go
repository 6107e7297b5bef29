package buffers

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a part that is taken for the whole, or a whole that is taken for a part.
func TestReadTellsWholesFromParts(t *testing.T) {
	const limit = 4 << 10
	for _, size := range []int{0, 1, minBuffer, minBuffer + 1, limit - 1, limit, limit + 1, 3 * limit} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader} {
			l := NewBudget(0).Lease()
			text := strings.Repeat("x", size)
			from := wrap(strings.NewReader(text))
			data, extent, err := l.Read(from, limit, 0)
			require.NoError(t, err)
			want := Whole
			if size > limit {
				want = TooLarge
			}
			require.Equal(t, want, extent, "%s %d", name, size)
			rest, err := io.ReadAll(from)
			require.NoError(t, err)
			require.Equal(t, text, string(data)+string(rest), "%s %d", name, size)
			require.LessOrEqual(t, len(data), limit+1)
		}
	}
}

// Guards against a reader that holds more than the budget has.
func TestReadStopsWhereTheBudgetEnds(t *testing.T) {
	b := NewBudget(64 << 10)
	l := b.Lease()
	data, extent, err := l.Read(bytes.NewReader(make([]byte, 1<<20)), 1<<20, 0)
	require.NoError(t, err)
	require.Equal(t, NoRoom, extent)
	require.LessOrEqual(t, len(data), FreeBytes+64<<10)
	require.LessOrEqual(t, b.Used(), b.Limit())
	l.Release()
	require.Zero(t, b.Used())
}

// Guards against memory that stays taken after a response broke off.
func TestReadGivesBackAfterAnError(t *testing.T) {
	b := NewBudget(1 << 20)
	l := b.Lease()
	_, _, err := l.Read(io.MultiReader(bytes.NewReader(make([]byte, 100<<10)), iotest.ErrReader(errors.New("broken"))), 1<<20, 0)
	require.EqualError(t, err, "broken")
	require.Zero(t, b.Used())
	_, _, err = l.Read(iotest.ErrReader(errors.Annotate(io.EOF, "broken")), 1<<20, 0)
	require.EqualError(t, err, "broken: EOF", "a wrapped end is no end")
}

// Guards against bodies that take half as much again as the budget has, while their buffers grow.
func TestReadCountsBothBuffersWhileItCopies(t *testing.T) {
	const size = 100 << 10
	both := int64(64<<10 + 128<<10 - FreeBytes)
	l := NewBudget(both - 1).Lease()
	_, extent, err := l.Read(strings.NewReader(strings.Repeat("x", size)), 1<<20, 0)
	require.NoError(t, err)
	require.Equal(t, NoRoom, extent)
	b := NewBudget(both)
	l = b.Lease()
	_, extent, err = l.Read(strings.NewReader(strings.Repeat("x", size)), 1<<20, 0)
	require.NoError(t, err)
	require.Equal(t, Whole, extent)
	require.EqualValues(t, 128<<10-FreeBytes, b.Used(), "the old buffer is given back")
}

// Guards against one body's bytes in another one that is read into the same buffers.
func TestReusedBuffersBringNoBytesOfOthers(t *testing.T) {
	for i, size := range []int{300 << 10, 70 << 10, 1 << 20, 65 << 10, 300 << 10} {
		l := NewBudget(64 << 20).Lease()
		text := strings.Repeat(string(rune('a'+i)), size)
		data, _, err := l.Read(strings.NewReader(text), 4<<20, 0)
		require.NoError(t, err)
		require.Equal(t, text, string(data))
	}
}
