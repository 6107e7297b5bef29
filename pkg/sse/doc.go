// Package sse finds events and lines in the bytes of a stream of server-sent events.
//
// A line ends in CRLF, LF or CR, an event with a blank line (WHATWG HTML, section "Server-sent
// events").
package sse
