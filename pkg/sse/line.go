package sse

import "bytes"

// CutLine returns the first line of text without its terminator, and the text after it.
func CutLine(text []byte) (line, rest []byte) {
	i := lineEnd(text)
	if i < 0 {
		return text, nil
	}
	if text[i] == '\r' && i+1 < len(text) && text[i+1] == '\n' {
		return text[:i], text[i+2:]
	}
	return text[:i], text[i+1:]
}

// lineEnd returns the index of the terminator of text's first line, or a negative number if there
// is none.
func lineEnd(text []byte) int {
	i := bytes.IndexByte(text, '\n')
	before := text
	if i >= 0 {
		before = text[:i]
	}
	if j := bytes.IndexByte(before, '\r'); j >= 0 {
		return j
	}
	return i
}
