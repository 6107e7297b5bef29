package gatewayd

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/pace"
)

func TestPausesSurviveEncoding(t *testing.T) {
	var pauses pace.Pauses
	pauses.Ms[3], pauses.Count[3] = 640, 2
	encoded := encodePauses("llm", pauses)
	require.Equal(t, fleet.Pauses{Service: "llm", Ms: []int{0, 0, 0, 640}, Count: []int{0, 0, 0, 2}}, encoded)
	require.Equal(t, pauses, decodePauses(encoded))
}

// Another router tells figures of any length and sign. They may make no pause longer than the
// reading that causes it.
func FuzzDecodePauses(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8}, []byte{1})
	f.Add([]byte{}, []byte{255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, sums, counts []byte) {
		estimator := pace.NewEstimator()
		estimator.SetOthersPauses(map[string]pace.Pauses{"llm": decodePauses(fleet.Pauses{Ms: numbers(sums), Count: numbers(counts)})})
		curve := estimator.Curve("llm")
		for prefill := time.Duration(0); prefill < 3*time.Second; prefill += 90 * time.Millisecond {
			if pause := curve.At(prefill); pause < 0 || pause > prefill {
				t.Fatalf("a pause of %v beside a reading of %v", pause, prefill)
			}
		}
	})
}

// numbers reads as many whole numbers as there are.
func numbers(data []byte) []int {
	const size = 8
	var list []int
	for len(data) >= size {
		list = append(list, int(binary.LittleEndian.Uint64(data)))
		data = data[size:]
	}
	return list
}
