package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// maxTokenFile bounds the token file, in bytes.
const maxTokenFile = 64 << 10

// Tokens are the operators' bearer tokens, one a line of a file; empty lines and
// lines that start with # don't count. The file is read again when it changes.
type Tokens struct {
	file string

	mu       sync.Mutex
	modified time.Time
	size     int64
	sums     [][sha256.Size]byte
}

// NewTokens reads the file.
func NewTokens(file string) (*Tokens, error) {
	t := &Tokens{file: file}
	return t, t.refresh()
}

// Valid says whether token is one of the file's. All tokens are compared, each in
// constant time over sums of equal length, so that the time taken tells nothing about
// them. While the file can't be read, the tokens read last stay valid.
func (t *Tokens) Valid(token string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.refresh()
	sum := sha256.Sum256([]byte(token))
	found := 0
	for i := range t.sums {
		found |= subtle.ConstantTimeCompare(sum[:], t.sums[i][:])
	}
	return found == 1 && token != ""
}

func (t *Tokens) refresh() error {
	info, err := os.Stat(t.file)
	if err != nil {
		return errors.Annotate(err, "operator tokens")
	}
	if info.ModTime().Equal(t.modified) && info.Size() == t.size {
		return nil
	}
	if info.Size() > maxTokenFile {
		return errors.Errorf("operator tokens: the file is over %d bytes", maxTokenFile)
	}
	data, err := os.ReadFile(t.file)
	if err != nil {
		return errors.Annotate(err, "operator tokens")
	}
	t.modified, t.size, t.sums = info.ModTime(), info.Size(), sums(string(data))
	return nil
}

func sums(data string) [][sha256.Size]byte {
	var list [][sha256.Size]byte
	for line := range strings.Lines(data) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			list = append(list, sha256.Sum256([]byte(line)))
		}
	}
	return list
}
