package failtest

import (
	"os"
	"strings"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/operator"
)

// Lines of a router's log that tell whether it keeps the models' cell.
const (
	keepsLine = "keeping cell"
	leftLine  = "handed cell over"
	cellField = "=" + devfleet.ModelPool + "/" // between the name and = stand colour codes
)

// AwaitMembers waits until each router sees all routers alive.
func (w *World) AwaitMembers() {
	w.t.Helper()
	w.Eventually("all routers see each other", func() bool {
		for i := range w.Routers {
			if w.alive(i) != len(w.Routers) {
				return false
			}
		}
		return true
	})
}

// alive is the number of routers that router i sees alive.
func (w *World) alive(i int) int {
	w.t.Helper()
	var s operator.Status
	w.getJSON(w.operatorURL(i)+"/status", &s)
	n := 0
	for _, r := range s.Routers {
		if r.State == "alive" {
			n++
		}
	}
	return n
}

func (w *World) operatorURL(i int) string {
	return "http://" + w.Routers[i].Info.Operator + "/api/v1"
}

// Keeper returns the router that keeps the models' first cell.
func (w *World) Keeper() int {
	w.t.Helper()
	keeper := -1
	w.Eventually("one router keeps the cell", func() bool {
		n := 0
		for i, r := range w.Routers {
			if w.keeps(r) {
				keeper = i
				n++
			}
		}
		return n == 1
	})
	return keeper
}

func (w *World) keeps(r *devfleet.Router) bool {
	w.t.Helper()
	data, err := os.ReadFile(r.LogFile)
	w.must(err)
	keeps := false
	for line := range strings.Lines(string(data)) {
		switch {
		case !strings.Contains(line, cellField):
		case strings.Contains(line, keepsLine):
			keeps = true
		case strings.Contains(line, leftLine):
			keeps = false
		}
	}
	return keeps
}

// AwaitLine waits until the log of router i holds text.
func (w *World) AwaitLine(i int, text string) {
	w.t.Helper()
	w.Eventually("a line of the router: "+text, func() bool {
		data, err := os.ReadFile(w.Routers[i].LogFile)
		return err == nil && strings.Contains(string(data), text)
	})
}

// Drain asks router i over the operator API to leave.
func (w *World) Drain(i int) {
	w.t.Helper()
	w.postJSON(w.operatorURL(i)+"/drain", operator.DrainRequest{Router: w.Routers[i].Info.ID})
}

// tailBytes of each router's log are shown when a test failed.
const tailBytes = 2 << 10

func (w *World) logTails() {
	for _, r := range w.Routers {
		data, err := os.ReadFile(r.LogFile)
		if err == nil {
			w.t.Logf("end of %s's log:\n%s", r.Info.ID, data[max(0, len(data)-tailBytes):])
		}
	}
}

// AwaitEnd waits until the process of router i has ended by itself.
func (w *World) AwaitEnd(i int) {
	w.t.Helper()
	w.Eventually("the router has ended", w.Routers[i].Ended)
}

// Return starts router i again and waits until all routers see each other.
func (w *World) Return(i int) {
	w.t.Helper()
	w.must(w.Restart(w.ctx, i))
	w.AwaitMembers()
}
