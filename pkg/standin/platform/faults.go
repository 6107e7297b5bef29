package platform

import (
	"time"

	"github.com/juju/errors"
)

// Faults are the failures switched on by PUT /admin/faults. The zero value has none.
type Faults struct {
	// TableDown refuses every read and write of the table.
	TableDown bool `json:"tableDown"`
	// TableDelayMs delays every read and write of the table, in milliseconds. A
	// delayed write takes effect even when its caller has given up meanwhile.
	TableDelayMs int `json:"tableDelayMs"`
	// TableLoseAnswers is the share (0 to 1) of writes that take effect and whose
	// connection is then closed without an answer.
	TableLoseAnswers float64 `json:"tableLoseAnswers"`
	// ObjectsDown refuses every read and write of objects.
	ObjectsDown bool `json:"objectsDown"`
	// HostsLagMs is the age of the host list that is shown, in milliseconds.
	HostsLagMs int `json:"hostsLagMs"`
	// HostsDown refuses the host list.
	HostsDown bool `json:"hostsDown"`
	// HoldWeights holds each opening of weights until the switches are set anew.
	HoldWeights bool `json:"holdWeights"`
	// WeightsPerSecond, WritesPerSecond and ReadsPerSecond are rate limits; 0: none.
	WeightsPerSecond float64 `json:"weightsPerSecond"`
	WritesPerSecond  float64 `json:"writesPerSecond"`
	ReadsPerSecond   float64 `json:"readsPerSecond"`
}

// Check names a value that is out of range.
func (f Faults) Check() error {
	if f.TableLoseAnswers < 0 || f.TableLoseAnswers > 1 {
		return errors.NotValidf("tableLoseAnswers outside 0 to 1")
	}
	if min(f.TableDelayMs, f.HostsLagMs) < 0 || min(f.WeightsPerSecond, f.WritesPerSecond, f.ReadsPerSecond) < 0 {
		return errors.NotValidf("number under 0")
	}
	return nil
}

func (f Faults) tableDelay() time.Duration { return time.Duration(f.TableDelayMs) * time.Millisecond }

func (f Faults) hostsLag() time.Duration { return time.Duration(f.HostsLagMs) * time.Millisecond }
