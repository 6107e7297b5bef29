package edge

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

func FuzzInspect(f *testing.F) {
	f.Add([]byte(modelBody))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","model":"n","max_tokens":1e999}`))
	f.Add([]byte("[[[[{}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		in, err := inspect(body)
		if err != nil {
			same(t, "verdict", verdict.NotRun, err.Verdict)
			return
		}
		if in.model == "" {
			t.Errorf("accepted %+v", in)
		}
		prefixHash(in.prompt)
	})
}

// One organisation fills its queue. Another one must still get in, and the time told to
// the first follows from how fast its own requests leave.
func TestQueueBoundIsPerOrganisation(t *testing.T) {
	now := time.Unix(100, 0)
	a := newAdmission(10)
	busy, other := Org{Name: "busy", MaxQueued: 4}, Org{Name: "other", MaxQueued: 4}
	var places []*place
	for range 4 {
		p, err := a.enter(busy, now)
		if err != nil {
			t.Fatal(err)
		}
		places = append(places, p)
	}
	_, err := a.enter(busy, now)
	same(t, "unknown rate", unknownRetryAfter, err.RetryAfter)
	places[0].leave(now.Add(2 * time.Second))
	places[0].leave(now.Add(3 * time.Second))
	if _, err = a.enter(busy, now); err != nil {
		t.Fatal("no room after a leave")
	}
	_, err = a.enter(busy, now)
	same(t, "half of four, two seconds each", 4*time.Second, err.RetryAfter)
	_, err = a.enter(other, now)
	same(t, "other organisation", true, err == nil)
}

// Guards against a flood that takes all places at once, as when a router that stood still goes on, and
// has others refused who hold few.
func TestAFloodLeavesPlacesToOthers(t *testing.T) {
	now := time.Unix(100, 0)
	a := newAdmission(64)
	taken := 0
	for range 200 {
		if _, err := a.enter(Org{Name: "flood", MaxQueued: 256}, now); err == nil {
			taken++
		}
	}
	same(t, "places of the flood", 32, taken)
	for range 8 {
		for _, name := range []string{"a", "b"} {
			_, err := a.enter(Org{Name: name, MaxQueued: 256}, now)
			same(t, name, true, err == nil)
		}
	}
}

func TestBodyBudgetLeavesRoomForOthers(t *testing.T) {
	b := newBodyBudget(100)
	free, err := b.take("a", 20)
	same(t, "within", true, err == nil)
	_, err = b.take("a", 20)
	same(t, "over its quarter", verdict.CodeOverloaded, err.Code)
	_, err = b.take("b", 25)
	same(t, "other organisation", true, err == nil)
	free()
	_, err = b.take("a", 25)
	same(t, "freed", true, err == nil)
}

func TestRetryBudgetIsAShare(t *testing.T) {
	b := newRetryBudget(0.1)
	for b.retry() {
	}
	for range 50 {
		b.request()
	}
	retries := 0
	for b.retry() {
		retries++
	}
	same(t, "retries", true, retries == 4 || retries == 5)
	same(t, "none without share", false, newRetryBudget(0).retry())
}
