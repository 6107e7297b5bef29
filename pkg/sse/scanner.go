package sse

// terminator is what a line ended with.
type terminator byte

const (
	noLine terminator = iota
	lf
	cr
	crlf
)

// Scanner cuts a stream that comes piece by piece into events. How the bytes are cut into pieces
// doesn't change the events. The zero value is at the start of a stream.
type Scanner struct {
	// next is the first byte that wasn't looked at, line the start of its line.
	next, line int
	// begun is whether the event has a line, field whether it has one that is no comment.
	begun, field bool
	last         terminator
}

// Scan gives the length of what can be taken off the start of buf: an event with its blank line, or
// blank lines between events. It gives 0 when more is needed. buf must begin where the call before
// left off, and hold at least what it held then.
func (s *Scanner) Scan(buf []byte) (n int, event bool) {
	for s.next < len(buf) {
		if s.splitEnd(buf) {
			s.next++
			s.line, s.last = s.next, crlf
			if !s.begun {
				return s.take(), false
			}
			continue
		}
		i := lineEnd(buf[s.next:])
		if i < 0 {
			s.next = len(buf)
			break
		}
		s.next += i
		blank := s.next == s.line
		if blank && s.awaitsLF(buf) {
			break
		}
		if !blank {
			s.begun = true
			s.field = s.field || buf[s.line] != ':'
		}
		s.endLine(buf, blank)
		if blank {
			event = s.begun
			return s.take(), event
		}
	}
	return 0, false
}

// splitEnd reports whether the next byte is the LF of a CRLF whose CR has ended the line before.
func (s *Scanner) splitEnd(buf []byte) bool {
	return s.last == cr && s.next == s.line && buf[s.next] == '\n'
}

// awaitsLF reports whether the blank line at next ends in a CR that, as those before it, is likely
// to be followed by an LF which hasn't come.
func (s *Scanner) awaitsLF(buf []byte) bool {
	return s.last == crlf && buf[s.next] == '\r' && s.next+1 == len(buf)
}

// endLine goes on behind the line end at next. The LF behind the CR of a blank line belongs to the
// event only where the lines before ended so, as otherwise the event would have to wait for it.
func (s *Scanner) endLine(buf []byte, blank bool) {
	switch {
	case buf[s.next] == '\n':
		s.last = lf
	case blank && s.last == crlf && buf[s.next+1] == '\n':
		s.next++
	default:
		s.last = cr
	}
	s.next++
	s.line = s.next
}

// take ends a piece and gives its length.
func (s *Scanner) take() int {
	n := s.next
	*s = Scanner{last: s.last}
	return n
}

// Whole reports whether rest, which Scan has left, is an event that lacks nothing but the LF of its
// last CRLF.
func (s *Scanner) Whole(rest []byte) bool { return s.begun && s.blankLeft(rest) }

// Inside reports whether a stream that ends with rest, which Scan has left, ends inside an event.
// Comments that end with their line are no part of one.
func (s *Scanner) Inside(rest []byte) bool {
	return !s.blankLeft(rest) && (s.field || len(rest) > s.line)
}

// blankLeft reports whether rest ends with a blank line whose LF Scan still waits for.
func (s *Scanner) blankLeft(rest []byte) bool {
	return s.next == s.line && s.next < len(rest) && s.awaitsLF(rest)
}
