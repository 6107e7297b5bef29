package catalog

import "time"

// Contact is a span of time in which some router was in contact with the store, without an
// interruption of minOutage or longer. The zero value means no contact.
type Contact struct {
	Since, Until time.Time
}

// merge returns one span for both contacts if the gap between them is shorter than minOutage, else
// the later one.
func (c Contact) merge(o Contact) Contact {
	switch {
	case o.Until.IsZero() || o.Until.Before(o.Since):
		return c
	case c.Until.IsZero():
		return o
	case o.Since.Sub(c.Until) >= minOutage:
		return o
	case c.Since.Sub(o.Until) >= minOutage:
		return c
	}
	if o.Since.Before(c.Since) {
		c.Since = o.Since
	}
	if o.Until.After(c.Until) {
		c.Until = o.Until
	}
	return c
}

// covers reports whether the store was available from t on.
func (c Contact) covers(t time.Time) bool { return c.Since.Sub(t) < minOutage }
