// Package status describes what a gateway knows at one moment, for operators.
package status

// Status of a gateway.
type Status struct {
	Router string `json:"router"`
	Zone   string `json:"zone"`
	// Ready is whether callers are sent here, Active the number of requests being served.
	Ready  bool  `json:"ready"`
	Active int64 `json:"active"`
	// Config is the version of the configuration in force, 0 before the first.
	Config int64 `json:"config"`
	// ListAgeMs is how long ago the list of upstreams was last known to be current, in
	// milliseconds, ListRevision its revision in the store.
	ListAgeMs int64 `json:"listAgeMs"`
	// Era is how often the store was restored from a copy, as of the list of upstreams; 0 if it doesn't say.
	Era          int64 `json:"era,omitempty"`
	ListRevision int64 `json:"listRevision"`
	// EvacuatedZones are the availability zones whose upstreams are given nothing.
	EvacuatedZones []string `json:"evacuatedZones"`
	// Exchange is how the router tells others of its work: "direct", "hub", or the hub's
	// address for peers.
	Exchange      string         `json:"exchange"`
	Routers       []Router       `json:"routers"`
	Upstreams     []Upstream     `json:"upstreams"`
	Organisations []Organisation `json:"organisations"`
	// Software are the software versions of services that streams may have begun at, Streams the
	// number of streams whose version is on record.
	Software []Software `json:"software"`
	Streams  int        `json:"streams"`
	// Suspects are requests and parts of prompts under which upstreams crashed, the refused ones first.
	Suspects []Suspect `json:"suspects"`
	// Bookings are the turns at engines.
	Bookings Bookings `json:"bookings"`
	// Faults counts the changes of the store's rows to ones that can't be used.
	Faults int64 `json:"faults"`
	// LinesDropped counts log lines that nobody read in time.
	LinesDropped int64 `json:"linesDropped"`
}

// Suspect is a request, or a part of prompts, under which upstreams crashed.
type Suspect struct {
	// Kind is "content" for a whole request or "part", Subject its hash as in the log.
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	// Crashes is the number of upstreams that crashed since it was last known to be sound, LastCrashMs how
	// long ago the last one did, in milliseconds.
	Crashes     int   `json:"crashes"`
	LastCrashMs int64 `json:"lastCrashMs"`
	// RefusedMs is how long it is still refused, in milliseconds; 0 if it isn't.
	RefusedMs int64 `json:"refusedMs"`
}

// Router is another router that is alive.
type Router struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Callers string `json:"callers"`
	Ready   bool   `json:"ready"`
}

// Upstream is an instance with the work that all routers gave it.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	// Born is when its process started, in Unix milliseconds by its host's time of day.
	Born int64 `json:"born,omitempty"`
	// Fault is why its entry names no instance to use; empty when it does.
	Fault string `json:"fault,omitempty"`
	// Held is whether it is missing from the list and kept after an outage of the store.
	Held bool `json:"held,omitempty"`
	// Usable is false while this router leaves the instance alone.
	Usable bool `json:"usable"`
	// HandicapMs is what it counts as slower for its failures, in milliseconds.
	HandicapMs int64 `json:"handicapMs"`
	Running    int   `json:"running"`
	Slots      int   `json:"slots"`
	// Unread is the number of prompt tokens that wait to be read.
	Unread int `json:"unread"`
	// Slowness is how many times longer than usual it is believed to read, 1 for as usual.
	Slowness float64 `json:"slowness"`
	// Fragile is the weight of its streams that a long pause would make late, Long the number
	// of prompts to be read there that make one.
	Fragile int `json:"fragile"`
	Long    int `json:"long"`
}

// Organisation is an organisation's traffic over all routers, in tokens a second.
type Organisation struct {
	Name  string  `json:"name"`
	Asked float64 `json:"asked"`
	Got   float64 `json:"got"`
	// Standing is what it gets over what it is due; over 1 it has more than its share.
	Standing float64 `json:"standing"`
}
