package clients_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Limits of the configuration for callers.
const (
	maxHeader = 16 << 10
	maxBody   = 4 << 20
)

// shape writes what one client sends and returns when it has sent all, or fails.
type shape func(w io.Writer) error

// block is written again and again by shapes that send much.
const block = 64 << 10

// head is the beginning of a request with the given fields, without the line that ends it.
func head(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(fields, ""), "\r\n")
}

// post is the beginning of a caller's request.
func post(path string, fields ...string) string {
	return head("POST", path, append([]string{"Authorization: Bearer " + key, "Request-Id: 0"}, fields...)...)
}

// shortLines returns size bytes of fields of a few bytes each, whose names all differ.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		line := fmt.Sprintf("a%c%c%c:\r\n", 'a'+i/676%26, 'a'+i/26%26, 'a'+i%26)
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// sends writes the text and nothing more.
func sends(text string) shape {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

// repeats writes the text and then size bytes, of unit again and again.
func repeats(text, unit string, size int) shape {
	data := bytes.Repeat([]byte(unit), block/len(unit)+1)
	data = data[:len(data)/len(unit)*len(unit)]
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		for left := size; left > 0; left -= len(data) {
			if _, err := w.Write(data[:min(left, len(data))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// endless is more than any limit lets through.
const endless = 16 << 20

// headOf is a head of about size bytes in short lines, without its end.
func headOf(begin string, size int) shape { return sends(begin + shortLines(size-len(begin))) }

// unfinishedLength is a body of size bytes with a declared length, without its last byte.
func unfinishedLength(begin string, size int) shape {
	return repeats(begin+fmt.Sprintf("Content-Length: %d\r\n\r\n", size), "x", size-1)
}

// unfinishedChunk is a body of one chunk of size bytes, without its last byte.
func unfinishedChunk(begin string, size int) shape {
	return repeats(begin+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "x", size-1)
}

// tinyChunk is a chunk of one byte.
const tinyChunk = "1\r\nx\r\n"

// unfinishedChunks is a body of so many chunks of a byte, without the last chunk.
func unfinishedChunks(begin string, chunks int) shape {
	return repeats(begin+"Transfer-Encoding: chunked\r\n\r\n", tinyChunk, chunks*len(tinyChunk))
}

// inTurns gives each client the next of the shapes.
func inTurns(list ...shape) func(client int) shape {
	return func(client int) shape { return list[client%len(list)] }
}
