package dispatch

import "bytes"

var completionTokensKey = []byte(`"completion_tokens":`)

// completionTokensOf finds usage.completion_tokens in valid JSON without allocating. Quotes
// within a string are escaped, so generated text can't be mistaken for the key.
func completionTokensOf(data []byte) (int, bool) {
	i := bytes.LastIndex(data, completionTokensKey)
	if i < 0 {
		return 0, false
	}
	rest := bytes.TrimLeft(data[i+len(completionTokensKey):], " \t\r\n")
	n := 0
	for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' {
		n++
	}
	v, ok := parseNumber(rest[:n])
	return int(v), ok
}
