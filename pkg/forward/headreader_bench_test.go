package forward

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// BenchmarkHead reads the head of a usual response with and without bounds.
func BenchmarkHead(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nRequest-Id: 0123456789abcdef\r\nContent-Type: text/event-stream\r\nDate: Fri, 04 Dec 2026 15:00:00 GMT\r\nTransfer-Encoding: chunked\r\n\r\n"
	from := strings.NewReader(text)
	request := &http.Request{Method: http.MethodGet}
	budget := buffers.NewBudget(buffers.DefaultLimit)
	h := &headReader{from: from}
	r := bufio.NewReaderSize(h, readBufferSize)
	b.Run("bounded", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			from.Reset(text)
			r.Reset(h)
			h.lease = budget.Lease()
			_, err := h.readResponse(r, DefaultMaxHead, request)
			require.NoError(b, err)
		}
	})
	b.Run("unbounded", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			from.Reset(text)
			r.Reset(from)
			_, err := http.ReadResponse(r, request)
			require.NoError(b, err)
		}
	})
}
