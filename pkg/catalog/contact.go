package catalog

import "time"

// Contact is a span of time in which the store was heard by some router, with no silence of outage
// or longer. The zero value knows of none.
type Contact struct {
	Since, Until time.Time
}

// join gives what two contacts say together: one span where no silence lies between them, else the
// later one.
func (c Contact) join(o Contact) Contact {
	switch {
	case o.Until.IsZero() || o.Until.Before(o.Since):
		return c
	case c.Until.IsZero():
		return o
	case o.Since.Sub(c.Until) >= outage:
		return o
	case c.Since.Sub(o.Until) >= outage:
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

// covers reports whether the store was there from t on.
func (c Contact) covers(t time.Time) bool { return c.Since.Sub(t) < outage }
