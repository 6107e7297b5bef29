package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Duration is a time with its unit: "250ms", "2s". A bare number is refused.
type Duration time.Duration

// Std returns the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil || v < 0 {
		return errors.Errorf("%q is not a duration: write a number with its unit, such as 250ms, 2s or 1m", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Bytes is a size with its unit: "64KiB", "1MiB". A bare number is refused.
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText reads a size.
func (s *Bytes) UnmarshalText(b []byte) error {
	text := strings.TrimSpace(string(b))
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.factor {
			break
		}
		*s = Bytes(n * u.factor)
		return nil
	}
	return errors.Errorf("%q is not a size: write a whole number with its unit, such as 512B, 64KiB or 1MiB", b)
}

// MarshalText writes a size in bytes.
func (s Bytes) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}
