package docrun

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatches(t *testing.T) {
	for _, c := range []struct {
		want, got string
		match     bool
	}{
		{"accepted as version 2\n", "accepted as version 2", true},
		{"a … c\n", "a b b c\n", true},
		{"a … c\n", "a b\nc\n", false},
		{"a\n…\nd\n", "a\r\nb\r\nc\r\nd", true},
		{"a\n…\nd\n", "a\nd\n", true},
		{"a\n…\nd\n", "a\nb\n", false},
		{"a.c\n", "abc\n", false},
		{"", "", true},
		{"", "unexpected\n", false},
	} {
		require.Equal(t, c.match, Matches(c.want, c.got), "%q against %q", c.want, c.got)
	}
}

func TestBlocksAndTheirOutputs(t *testing.T) {
	blocks, err := parse("text\n```sh run\ndate\n```\nmore\n```out\n…\n```\n```yaml resources\nkind: Pool\n```\n")
	require.NoError(t, err)
	require.Equal(t, []Block{
		{Mode: Run, Line: 2, Text: "date\n", Want: "…\n"},
		{Mode: Resources, Line: 9, Text: "kind: Pool\n"},
	}, blocks)
}

// A slip in a mark would take an example out of the test without anybody noticing.
func TestSlipsInMarksAreErrors(t *testing.T) {
	for _, text := range []string{"```sh rum\n```\n", "```\n```\n", "```out\nx\n```\n", "```sh run\ndate\n"} {
		_, err := parse(text)
		require.Error(t, err, text)
	}
}

func TestCodeIsFoundWhateverItsIndent(t *testing.T) {
	block := Block{Mode: Go, Text: "a := 1\nif a {\n\tb()\n}\n"}
	require.NoError(t, CheckGo("func f() {\n\ta := 1\n\tif a {\n\t\tb()\n\t}\n}\n", block))
	require.Error(t, CheckGo("a := 2\n", block))
}
