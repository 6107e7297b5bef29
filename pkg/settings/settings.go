// Package settings reads the YAML settings of the daemons and checks them.
//
// Every fault of a file is named at once, with file, line and what is accepted.
// Secrets stand in files of their own and are never printed.
package settings

// Settings of one router daemon (flamingowindd).
type Settings struct {
	Router    Router    `yaml:"router"`
	Listen    Listen    `yaml:"listen"`
	Advertise Advertise `yaml:"advertise"`
	Peers     Peers     `yaml:"peers"`
	Platform  Platform  `yaml:"platform"`
	Operator  Operator  `yaml:"operator"`
	Limits    Limits    `yaml:"limits"`
	Timing    Timing    `yaml:"timing"`
	Sharing   Sharing   `yaml:"sharing"`
	Log       Log       `yaml:"log"`
}

// Router says which router this is.
type Router struct {
	// ID names the entry host's place in the fleet: stable over restarts.
	ID string `yaml:"id"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
}

// Listen holds the addresses to bind, by IP number and port.
type Listen struct {
	Entry    string `yaml:"entry"`    // TCP, callers
	Peer     string `yaml:"peer"`     // UDP, other routers
	Operator string `yaml:"operator"` // TCP, resource API
	Metrics  string `yaml:"metrics"`  // TCP, Prometheus text
}

// Advertise holds the addresses told to others; the listen addresses when left out.
type Advertise struct {
	Entry string `yaml:"entry"`
	Peer  string `yaml:"peer"`
}

// Peers says how routers find and trust each other.
type Peers struct {
	// Seeds are peer addresses to try first; the host list is the second source.
	Seeds []string `yaml:"seeds"`
	// Cert, Key and CA are PEM files for mutual TLS. They are read again when they
	// change; CA may hold an old and a new authority during a rotation.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// Platform says where the operators' platform is.
type Platform struct {
	URL     string   `yaml:"url"`
	Timeout Duration `yaml:"timeout"`
}

// Operator guards the resource API.
type Operator struct {
	// TokenFile holds the bearer tokens of operators, one a line.
	TokenFile string `yaml:"tokenFile"`
}

// Limits bound what callers can make a router hold.
type Limits struct {
	MaxBody        Bytes    `yaml:"maxBody"`
	MaxBodies      Bytes    `yaml:"maxBodies"` // all request bodies held at once; one organisation gets a quarter
	MaxHeader      Bytes    `yaml:"maxHeader"`
	MaxHeads       Bytes    `yaml:"maxHeads"`     // memory of all headers held at once
	MaxResponses   Bytes    `yaml:"maxResponses"` // memory of all upstreams' responses held at once
	MaxConnections int      `yaml:"maxConnections"`
	MaxQueued      int      `yaml:"maxQueued"`      // waiting requests in the router, all organisations
	BodyTimeout    Duration `yaml:"bodyTimeout"`    // a slow sender is refused after this
	WriteTimeout   Duration `yaml:"writeTimeout"`   // a reader that takes nothing for this long is cut
	IdleTimeout    Duration `yaml:"idleTimeout"`    // a kept-alive connection without a request is closed after this
	RequestTimeout Duration `yaml:"requestTimeout"` // deadline of requests that give none
	MaxDeadline    Duration `yaml:"maxDeadline"`    // largest deadline that a request may give
	RetryShare     float64  `yaml:"retryShare"`     // the system's own retries, as a share of requests
}

// Timing holds the protocol's times.
type Timing struct {
	Heartbeat     Duration `yaml:"heartbeat"`
	SuspectAfter  Duration `yaml:"suspectAfter"`
	DeadAfter     Duration `yaml:"deadAfter"`
	Poll          Duration `yaml:"poll"`          // reads of the table and the host list by a poller
	ConfirmWithin Duration `yaml:"confirmWithin"` // without confirmation for this long a router accepts nothing
	GrantTTL      Duration `yaml:"grantTTL"`
	Report        Duration `yaml:"report"`
	Coalesce      Duration `yaml:"coalesce"` // messages for one peer wait at most this long for each other
	DrainLimit    Duration `yaml:"drainLimit"`
	OrderTTL      Duration `yaml:"orderTTL"`      // a router's right to order an engine lapses after this
	OrderLongest  Duration `yaml:"orderLongest"`  // the longest time an engine takes to follow or drop an order
	OrderInterval Duration `yaml:"orderInterval"` // between two looks at an engine
	OrderPatience Duration `yaml:"orderPatience"` // the second router waits so long for the first, the third twice as long
}

// SharingMode says who orders the upstreams' slots.
type SharingMode string

// Modes of sharing.
const (
	// SharingFleet: cells kept by routers, the product.
	SharingFleet SharingMode = "fleet"
	// SharingAlone: each router has a fixed slice of every upstream; the baseline of measurements.
	SharingAlone SharingMode = "alone"
)

// Sharing chooses the mode. Slice and Slices are for SharingAlone only.
type Sharing struct {
	Mode   SharingMode `yaml:"mode"`
	Slice  int         `yaml:"slice"`
	Slices int         `yaml:"slices"`
}

// Log sets the log's level (debug, info, warn, error) and form (json, text).
type Log struct {
	Level string `yaml:"level"`
	Form  string `yaml:"form"`
}
