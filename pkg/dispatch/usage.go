package dispatch

import "bytes"

var completionTokens = []byte(`"completion_tokens":`)

// usageOf finds usage.completion_tokens in valid JSON without allocating. Within a
// string the quotes would be escaped, so text of the answer can't be taken for it.
func usageOf(data []byte) (int, bool) {
	i := bytes.LastIndex(data, completionTokens)
	if i < 0 {
		return 0, false
	}
	rest := bytes.TrimLeft(data[i+len(completionTokens):], " \t\r\n")
	n := 0
	for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' {
		n++
	}
	v, ok := parseNumber(rest[:n])
	return int(v), ok
}
