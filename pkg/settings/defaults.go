package settings

import "time"

// Default returns the settings used for whatever a file leaves out.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(time.Second)},
		Limits: Limits{
			MaxBody:        1 << 20,
			MaxBodies:      16 << 20,
			MaxHeader:      32 << 10,
			MaxHeads:       16 << 20,
			MaxResponses:   16 << 20,
			MaxConnections: 4096,
			MaxQueued:      4096,
			BodyTimeout:    Duration(10 * time.Second),
			WriteTimeout:   Duration(20 * time.Second),
			IdleTimeout:    Duration(2 * time.Minute),
			RequestTimeout: Duration(60 * time.Second),
			MaxDeadline:    Duration(15 * time.Minute),
			RetryShare:     0.1,
		},
		Timing: Timing{
			Heartbeat:     Duration(500 * time.Millisecond),
			SuspectAfter:  Duration(1500 * time.Millisecond),
			DeadAfter:     Duration(3 * time.Second),
			Poll:          Duration(time.Second),
			ConfirmWithin: Duration(5 * time.Second),
			GrantTTL:      Duration(2 * time.Second),
			Report:        Duration(500 * time.Millisecond),
			Coalesce:      Duration(time.Millisecond),
			DrainLimit:    Duration(60 * time.Second),
			OrderTTL:      Duration(15 * time.Second),
			OrderLongest:  Duration(60 * time.Second),
			OrderInterval: Duration(5 * time.Second),
			OrderPatience: Duration(30 * time.Second),
		},
		Sharing: Sharing{Mode: SharingFleet},
		Log:     Log{Level: "info", Form: "json"},
	}
}
