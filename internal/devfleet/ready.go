package devfleet

// Ready describes a running fleet; it is the JSON after "READY ".
type Ready struct {
	Routers       []RouterInfo   `json:"routers"`
	Organisations []OrgInfo      `json:"organisations"`
	Upstreams     []UpstreamInfo `json:"upstreams"`
	// Platform is the stand-in's base URL.
	Platform    string `json:"platform"`
	PlatformPID int    `json:"platformPid"`
	// Model and Service are the names that callers use.
	Model   string `json:"model"`
	Service string `json:"service"`
	// OperatorToken opens the operator API of every router.
	OperatorToken string `json:"operatorToken"`
	// Dir holds settings and logs.
	Dir string `json:"dir"`
}

// RouterInfo is one router's addresses ("ip:port") and process.
type RouterInfo struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	PID      int    `json:"pid"`
	Entry    string `json:"entry"`
	Operator string `json:"operator"`
	Metrics  string `json:"metrics"`
	// Peer is the advertised UDP address: the relay's when there is one.
	Peer string `json:"peer"`
}

// OrgInfo is one organisation with its API key.
type OrgInfo struct {
	Name   string  `json:"name"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"`
}

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	Engine       UpstreamKind = "engine"
	PlainService UpstreamKind = "service"
)

// UpstreamInfo is one upstream. URL reaches it directly, past any relay.
type UpstreamInfo struct {
	Name  string       `json:"name"`
	Kind  UpstreamKind `json:"kind"`
	Zone  string       `json:"zone"`
	URL   string       `json:"url"`
	PID   int          `json:"pid"`
	Slots int          `json:"slots"`
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty"`
}
