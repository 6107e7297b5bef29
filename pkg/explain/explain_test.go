package explain

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// The logs were recorded where each fault was brought about; the golden files are what an
// engineer on call reads.
func TestStoriesOfRecordedFaults(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(logs), 6)
	for _, name := range logs {
		fault := strings.TrimSuffix(filepath.Base(name), ".log")
		t.Run(fault, func(t *testing.T) {
			data, err := os.ReadFile(name)
			require.NoError(t, err)
			story, err := Read(requestIn(data), bytes.NewReader(data))
			require.NoError(t, err)
			var out bytes.Buffer
			require.NoError(t, story.Print(&out))
			goldie.New(t).Assert(t, fault, out.Bytes())
		})
	}
}

// requestIn is the id of the one request in a recorded log.
func requestIn(data []byte) string {
	for _, l := range strings.Split(string(data), "\n") {
		if one, ok := parse([]byte(l)); ok && one.text("event") == "request" {
			return one.text("request")
		}
	}
	return ""
}

func TestReadPassesOverWhatIsNoLine(t *testing.T) {
	log := "console text\n  0.1 router-1 " + `{"fields":{"event":"request","request":"r","router":"a"},"timestamp":"2026-01-01T00:00:00Z","message":"m"}` + "\n{broken\n"
	story, err := Read("r", strings.NewReader(log))
	require.NoError(t, err)
	require.Len(t, story.Requests, 1)
	_, err = Read("other", strings.NewReader(log))
	require.ErrorIs(t, err, ErrUnknown)
}
