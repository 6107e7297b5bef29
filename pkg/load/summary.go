package load

import "encoding/json"

// Summary is the last line of a comparison.
type Summary struct {
	Scenario string                    `json:"scenario"`
	Variants map[string]SummaryFigures `json:"variants"`
}

// SummaryFigures are the figures of one variant, as in Report.
type SummaryFigures struct {
	Sent           int     `json:"sent"`
	Whole          int     `json:"whole"`
	Refused        int     `json:"refused"`
	Lost           int     `json:"lost"`
	Doubled        int     `json:"doubled"`
	Cut            int     `json:"cut"`
	FalseRefusals  int     `json:"false_refusals"`
	Excused        int     `json:"excused"`
	GapTokens      float64 `json:"fairness_gap_tokens"`
	LargestRequest int     `json:"largest_request_tokens"`
	Utilisation    float64 `json:"utilisation"`
	ControlBytes   float64 `json:"control_bytes_per_node_s"`
	ControlPackets float64 `json:"control_packets_per_node_s"`
	CPUShare       float64 `json:"router_cpu_share"`
	RSSMB          float64 `json:"router_rss_mb"`
	// The others' 99th percentile of first token in the flood scenario, in milliseconds.
	CalmP99    float64 `json:"calm_first_token_p99_ms,omitempty"`
	FloodedP99 float64 `json:"flooded_first_token_p99_ms,omitempty"`
	FloodRatio float64 `json:"flood_p99_ratio,omitempty"`
}

// SummaryLine returns the summary of a comparison as one line of JSON.
func SummaryLine(scenario string, variants []Variant) ([]byte, error) {
	s := Summary{Scenario: scenario, Variants: make(map[string]SummaryFigures)}
	for _, v := range variants {
		s.Variants[v.Name] = figuresOf(v.Report)
	}
	return json.Marshal(s)
}

func figuresOf(r Report) SummaryFigures {
	f := SummaryFigures{
		Sent: r.Sent, Whole: r.Whole, Refused: r.Refused,
		Lost: r.Lost, Doubled: r.Doubled, Cut: r.Cut, FalseRefusals: r.FalseRefusals, Excused: r.Excused + r.Unsent,
		GapTokens: r.GapTokens, LargestRequest: r.LargestRequest, Utilisation: r.Utilisation,
		ControlBytes: r.ControlBytes, ControlPackets: r.ControlPackets, CPUShare: r.CPUShare, RSSMB: r.RSSMB,
	}
	if r.Flood != nil {
		f.CalmP99, f.FloodedP99, f.FloodRatio = r.Flood.Calm.P99, r.Flood.Flooded.P99, r.Flood.P99Ratio
	}
	return f
}
