package quarantine

import "time"

// Config bounds the list. Zero fields take the defaults.
type Config struct {
	// Limit is the number of deaths from which on a content is refused.
	Limit int
	// FadeAfter is how long a suspicion holds after its last news.
	FadeAfter time.Duration
	// MaxSuspects and MaxConfirmed bound the two stores, in contents.
	MaxSuspects  int
	MaxConfirmed int
}

// Defaults of Config.
const (
	// DefaultLimit is 2: the first death leaves doubt between the requests of one
	// batch, the second happens to a suspect that ran alone and leaves hardly any.
	// A third would cost another upstream and tell nothing new.
	DefaultLimit        = 2
	DefaultFadeAfter    = 30 * time.Minute
	DefaultMaxSuspects  = 4096
	DefaultMaxConfirmed = 1024
)

func (c Config) withDefaults() Config {
	if c.Limit < 2 {
		c.Limit = DefaultLimit
	}
	if c.FadeAfter <= 0 {
		c.FadeAfter = DefaultFadeAfter
	}
	if c.MaxSuspects <= 0 {
		c.MaxSuspects = DefaultMaxSuspects
	}
	if c.MaxConfirmed <= 0 {
		c.MaxConfirmed = DefaultMaxConfirmed
	}
	return c
}
