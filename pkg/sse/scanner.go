package sse

// terminator is the kind of line terminator.
type terminator byte

const (
	noTerminator terminator = iota
	lf
	cr
	crlf
)

// Scanner splits a stream that arrives in parts into events. The boundaries of the parts don't
// affect the result. The zero value is at the start of a stream.
type Scanner struct {
	// pos is the index of the first byte that hasn't been scanned, lineStart that of the start of
	// its line.
	pos, lineStart int
	// hasLine says that the current event has a line, hasField that it has one other than a
	// comment.
	hasLine, hasField bool
	lastTerminator    terminator
}

// Scan returns the length of the next chunk at the start of buf: an event with its blank line, or
// blank lines between events. It returns 0 if more bytes are needed. buf must start where the
// previous call left off, and include all bytes that were left then.
func (s *Scanner) Scan(buf []byte) (n int, event bool) {
	for s.pos < len(buf) {
		if s.atSplitCRLF(buf) {
			s.pos++
			s.lineStart, s.lastTerminator = s.pos, crlf
			if !s.hasLine {
				return s.finishChunk(), false
			}
			continue
		}
		i := lineEnd(buf[s.pos:])
		if i < 0 {
			s.pos = len(buf)
			break
		}
		s.pos += i
		blank := s.pos == s.lineStart
		if blank && s.awaitsLF(buf) {
			break
		}
		if !blank {
			s.hasLine = true
			s.hasField = s.hasField || buf[s.lineStart] != ':'
		}
		s.skipLineEnd(buf, blank)
		if blank {
			event = s.hasLine
			return s.finishChunk(), event
		}
	}
	return 0, false
}

// atSplitCRLF reports whether the next byte is the LF of a CRLF whose CR has already ended the
// previous line.
func (s *Scanner) atSplitCRLF(buf []byte) bool {
	return s.lastTerminator == cr && s.pos == s.lineStart && buf[s.pos] == '\n'
}

// awaitsLF reports whether the blank line at pos ends with a CR whose LF is expected, because the
// previous lines ended with CRLF, but hasn't arrived.
func (s *Scanner) awaitsLF(buf []byte) bool {
	return s.lastTerminator == crlf && buf[s.pos] == '\r' && s.pos+1 == len(buf)
}

// skipLineEnd moves past the line terminator at pos. The LF after the CR of a blank line belongs to
// the event only if the previous lines ended with CRLF. Otherwise the event would have to wait for
// a byte that may not come.
func (s *Scanner) skipLineEnd(buf []byte, blank bool) {
	switch {
	case buf[s.pos] == '\n':
		s.lastTerminator = lf
	case blank && s.lastTerminator == crlf && buf[s.pos+1] == '\n':
		s.pos++
	default:
		s.lastTerminator = cr
	}
	s.pos++
	s.lineStart = s.pos
}

// finishChunk resets the scanner after a chunk and returns the chunk's length.
func (s *Scanner) finishChunk() int {
	n := s.pos
	*s = Scanner{lastTerminator: s.lastTerminator}
	return n
}

// Complete reports whether rest, the bytes after the last chunk, is an event that lacks only the LF of
// its last CRLF.
func (s *Scanner) Complete(rest []byte) bool { return s.hasLine && s.endsWithBlankLine(rest) }

// InsideEvent reports whether a stream that ends with rest, the bytes after the last chunk, ends inside
// an event. Complete comment lines don't count as part of one.
func (s *Scanner) InsideEvent(rest []byte) bool {
	return !s.endsWithBlankLine(rest) && (s.hasField || len(rest) > s.lineStart)
}

// endsWithBlankLine reports whether rest ends with a blank line whose LF Scan is waiting for.
func (s *Scanner) endsWithBlankLine(rest []byte) bool {
	return s.pos == s.lineStart && s.pos < len(rest) && s.awaitsLF(rest)
}
