package docrun

import (
	"regexp"
	"strings"
)

const wildcard = "…"

// Matches says whether got is what want shows.
func Matches(want, got string) bool {
	return pattern(want).MatchString(normal(got))
}

func pattern(want string) *regexp.Regexp {
	var expr strings.Builder
	expr.WriteString(`\A`)
	for line := range strings.Lines(normal(want)) {
		if line == wildcard+"\n" {
			expr.WriteString(`(?:.*\n)*?`)
			continue
		}
		parts := strings.Split(strings.TrimSuffix(line, "\n"), wildcard)
		for i := range parts {
			parts[i] = regexp.QuoteMeta(parts[i])
		}
		expr.WriteString(strings.Join(parts, ".*") + `\n`)
	}
	expr.WriteString(`\z`)
	return regexp.MustCompile(expr.String())
}

// normal drops what a reader of a page doesn't see: carriage returns, spaces at the
// ends of lines, and whether the last line ends.
func normal(text string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		out.WriteString(strings.TrimRight(line, " \r\n") + "\n")
	}
	return out.String()
}
