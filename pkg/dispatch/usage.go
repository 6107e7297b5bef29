package dispatch

import "bytes"

var completionTokensKey = []byte(`"completion_tokens":`)

// completionTokensOf finds usage.completion_tokens in valid JSON without allocating. Within a
// string the quotes would be escaped, so text of the answer can't be taken for it.
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
