package status

// Bookings are sums over the asks for turns at engines since the router's start.
type Bookings struct {
	// AtOnce and Later got a turn, NoRoom none in time, Unanswered no answer, Unasked found no keeper.
	AtOnce     int64 `json:"atOnce"`
	Later      int64 `json:"later"`
	NoRoom     int64 `json:"noRoom"`
	Unanswered int64 `json:"unanswered"`
	Unasked    int64 `json:"unasked"`
	// Decided counts the asks of other routers and its own that this router decided, Calendars the
	// engines that it keeps.
	Decided   int64 `json:"decided"`
	Calendars int   `json:"calendars"`
}
