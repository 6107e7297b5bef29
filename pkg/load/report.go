package load

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// Report is what one run of a scenario showed.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Audit
	Gap Gap `json:"gap"`
	// GapTokens and LargestRequest are in tokens; GapRequests is the one over the other.
	GapTokens      float64 `json:"fairness_gap_tokens"`
	LargestRequest int     `json:"largest_request_tokens"`
	GapRequests    float64 `json:"fairness_gap_requests"`
	// Utilisation is the busy share of engine slots while anything waits.
	Utilisation float64 `json:"utilisation"`
	// TokensPerSecond is what all callers received while requests were sent.
	TokensPerSecond float64 `json:"tokens_s"`
	// Means over the routers, of what each sent and received and used.
	ControlBytes float64 `json:"control_bytes_per_node_s"`
	// OwnClaims is the share of claims to cells that the claiming router keeps itself.
	OwnClaims      float64 `json:"own_claims_share"`
	ControlPackets float64 `json:"control_packets_per_node_s"`
	CPUShare       float64 `json:"router_cpu_share"`
	// RSSMB is the largest router's resident memory, in MiB.
	RSSMB     float64      `json:"router_rss_mb"`
	Flood     *FloodEffect `json:"flood,omitempty"`
	Routers   []RouterUse  `json:"routers"`
	Latencies []Latency    `json:"latencies"`
	// Unmeasured says what couldn't be read: figures that rest on it are 0.
	Unmeasured []string `json:"unmeasured,omitempty"`
}

// Outcomes of a whole experiment: its records, for plots, and its report.
type Outcomes struct {
	Run Run
	// Attempts are what the upstreams ran.
	Attempts []Attempt
	Report   Report
}

// Experiment drives a scenario against the fleet and reports. current gives the
// fleet's state, whose process IDs change with restarts; excuse tells which broken
// connections an injected fault explains.
func Experiment(ctx context.Context, current func() devfleet.Ready, s Scenario, excuse Excuse) (Outcomes, error) {
	if err := warmUp(ctx, current()); err != nil {
		return Outcomes{}, err
	}
	before := awaitCounters(ctx, current().Routers)
	usage := make(chan []reading, 1)
	go func() { usage <- readAtEnd(ctx, current, s.Duration) }()
	run := Drive(ctx, current(), s)
	after := <-usage
	attempts, err := Journals(ctx, current().Upstreams)
	if err != nil {
		return Outcomes{Run: run}, errors.Annotate(err, "the run can't be checked")
	}
	report := Analyse(run, attempts, current().Upstreams, excuse)
	report.addRouters(routerUses(current().Routers, before, after, s.Duration))
	report.Unmeasured = faultsOf(before, after)
	return Outcomes{Run: run, Attempts: attempts, Report: report}, nil
}

// readAtEnd looks at the routers when the sending ends, before the load fades out.
func readAtEnd(ctx context.Context, current func() devfleet.Ready, after time.Duration) []reading {
	pauseUntil(ctx, time.Now().Add(after))
	return readRouters(ctx, current().Routers)
}

// Analyse works out all that follows from the callers' records and the journals.
func Analyse(run Run, attempts []Attempt, upstreams []devfleet.UpstreamInfo, excuse Excuse) Report {
	window := Span{run.Start, run.End}
	waiting := waitingSpans(run.Results, attempts)
	r := Report{
		Scenario: run.Scenario.Name, Seed: run.Scenario.Seed, Seconds: run.Scenario.Duration.Seconds(),
		Audit: Check(run.Results, attempts, excuse), Gap: fairnessGap(run, waiting),
		LargestRequest: largestRequest(run.Results),
		Utilisation:    utilisation(attempts, upstreams, waiting, window),
		Flood:          floodEffect(run), Latencies: latencies(run.Results),
	}
	r.GapTokens = r.Gap.Tokens
	r.GapRequests = r.GapTokens / float64(max(r.LargestRequest, 1))
	r.TokensPerSecond = float64(tokensOf(run.Samples)) / run.Scenario.Duration.Seconds()
	return r
}

func (r *Report) addRouters(uses []RouterUse) {
	r.Routers = uses
	var claims float64
	for _, u := range uses {
		claims += u.Claims
		r.OwnClaims += u.OwnClaims
		r.ControlBytes += u.BytesPerSecond / float64(len(uses))
		r.ControlPackets += u.PacketsPerSecond / float64(len(uses))
		r.CPUShare += u.CPUShare / float64(len(uses))
		r.RSSMB = max(r.RSSMB, u.RSSMB)
	}
	r.OwnClaims /= max(claims, 1)
}

// largestRequest is the longest answer of a completion that ran.
func largestRequest(results []Result) int {
	largest := 0
	for _, r := range results {
		largest = max(largest, r.Got)
	}
	return largest
}

// tokensOf is what all organisations received up to the last sample.
func tokensOf(samples []Sample) int64 {
	var total int64
	if len(samples) > 0 {
		for _, n := range samples[len(samples)-1].Tokens {
			total += n
		}
	}
	return total
}
