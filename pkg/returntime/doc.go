// Package returntime says when a caller that was refused should come back.
//
// A router that gets more connections than it can read refuses some of them unread. Told to stay away
// for as long as the overload suggests, up to seconds, callers find room when they return and are
// served far beyond their objective, in place of others whose objective still holds. While the load
// lasts, a caller that returns sooner has the same chance and is served in time.
//
// The package reads no clock.
package returntime
