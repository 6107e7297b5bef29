package load

import (
	"strconv"
	"strings"
)

// tokenText is token n of the answer to a marked request, as the stand-in engine
// writes it. An answer to another request, a missing token and one that came twice
// all show as another text.
func tokenText(marker string, n int) string {
	if n == 0 {
		return marker + " "
	}
	return strconv.Itoa(n) + " "
}

// wholeText is the whole answer of tokens tokens.
func wholeText(marker string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(tokenText(marker, n))
	}
	return b.String()
}
