package dispatch

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

type nullSink struct{}

func (nullSink) Begin(int, http.Header) {}
func (nullSink) Write([]byte) error     { return nil }

// BenchmarkRelay relays one event an iteration, without network; it must not allocate.
func BenchmarkRelay(b *testing.B) {
	events := strings.Repeat("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a token\"}}]}\n\n", b.N)
	body := strings.NewReader(events + doneText)
	d := New(testLimits())
	d.limits.MaxStream = int64(len(events)) + 1024
	a := &attempt{d: d, ctx: b.Context(), slot: new(nullSlot), call: streamCall(false), sink: nullSink{}}
	a.meter = meter{slot: a.slot}
	s := a.newSource()
	defer s.close()
	s.open(&http.Response{Body: readCloser{iotest.DataErrReader(body)}}, d.limits.MaxEvent)
	b.ReportAllocs()
	b.ResetTimer()
	if err := a.relay(s); err != nil {
		b.Fatal(err)
	}
}

type readCloser struct{ io.Reader }

func (readCloser) Close() error { return nil }

type nullSlot struct{ fakeSlot }

func (*nullSlot) Progress(wire.Units) {}
