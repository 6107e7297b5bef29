package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Values of Faults.Endless.
const (
	endlessHead   = "head"
	endlessBody   = "body"
	endlessEvents = "events"
)

const (
	// endlessPiece is the size, in bytes, of the pieces of an answer without end, endlessPause the time
	// between two.
	endlessPiece = 16 << 10
	endlessPause = time.Millisecond
)

// sendEndless sends an answer that ends only with its connection.
func sendEndless(ctx context.Context, w http.ResponseWriter, kind string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	piece := bytes.Repeat([]byte("f"), endlessPiece)
	start := "HTTP/1.1 200 OK\r\n" + attemptHeader + ": " + w.Header().Get(attemptHeader) + "\r\n"
	switch kind {
	case endlessHead:
		start += "X-Fill: "
	case endlessEvents:
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), bytes.Repeat([]byte(": comment\n\n"), endlessPiece)[:len(piece)])
		start += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	default:
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		start += "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	tick := time.NewTicker(endlessPause)
	defer tick.Stop()
	for _, err = io.WriteString(c, start); err == nil; {
		select {
		case <-tick.C:
			_, err = c.Write(piece)
		case <-ctx.Done():
			return
		}
	}
}
