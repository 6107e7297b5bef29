package quarantine

import "time"

// Config holds the limits of a List. Zero fields take the defaults.
type Config struct {
	// CrashLimit is the number of crashes from which on a content is refused.
	CrashLimit int
	// Duration is how long a suspicion holds after its last crash.
	Duration time.Duration
	// MinSpan is the time within which upstreams count as lost together. A content that ran on some
	// of them only isn't refused for that: they crash under whatever they ran.
	MinSpan time.Duration
	// Settle is the least time from the first crash until a part is refused, in which other requests that
	// have it may show that it is sound.
	Settle time.Duration
	// Moment is the span within which crashes count as one against what was sound before them: all upstreams
	// may be lost at once, and nothing is left that could show that it still is. 0 counts each.
	Moment time.Duration
	// ClearConfirmed says that a completion clears what is refused as well.
	ClearConfirmed bool
	// Parts says that the list holds parts of prompts, not whole requests.
	Parts bool
	// Scopes is the number of entries for each part, from the widest scope to the narrowest; 0 stands for one. They
	// follow each other in the parts of a prompt.
	Scopes int
	// MaxSuspects and MaxConfirmed are the maximum numbers of contents that are kept, MaxHistory that of contents
	// of which it is known when they were sound.
	MaxSuspects  int
	MaxConfirmed int
	MaxHistory   int
}

// Defaults of Config.
const (
	// DefaultCrashLimit is 2: after a first crash, any request of the batch may be the cause. The second
	// crash happens to a suspect that ran alone, which leaves hardly any doubt. A third one would
	// cost another upstream and show nothing new.
	DefaultCrashLimit   = 2
	DefaultDuration     = 30 * time.Minute
	DefaultMaxSuspects  = 4096
	DefaultMaxConfirmed = 1024
	DefaultMaxHistory   = 4096
)

func (c Config) withDefaults() Config {
	if c.CrashLimit < 2 {
		c.CrashLimit = DefaultCrashLimit
	}
	if c.Duration <= 0 {
		c.Duration = DefaultDuration
	}
	if c.MaxSuspects <= 0 {
		c.MaxSuspects = DefaultMaxSuspects
	}
	if c.MaxConfirmed <= 0 {
		c.MaxConfirmed = DefaultMaxConfirmed
	}
	if c.Scopes <= 0 {
		c.Scopes = 1
	}
	if c.MaxHistory <= 0 {
		c.MaxHistory = DefaultMaxHistory
	}
	return c
}
