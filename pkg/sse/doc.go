// Package sse finds events and lines in a stream of server-sent events.
//
// A line ends with CRLF, LF or CR, an event with a blank line (WHATWG HTML, section "Server-sent
// events").
package sse
