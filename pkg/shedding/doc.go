// Package shedding sets the limits within which a request may be sent to an engine, and so decides
// which requests are refused at once.
//
// The load may be several times what the engines can do, most of it from a few organisations.
// Engines run requests in the order of arrival, so a queue that one organisation fills delays
// everybody. A refusal at once costs its caller little and lets it retry; a long wait that ends
// late costs the value of the answer and the engine's time.
//
// Limits are shares of the route's objective, so they fit any deployment. They fall with the ratio
// of what an organisation gets to what it is due: requests within the share may wait, those over it
// only use the capacity that others leave.
package shedding
