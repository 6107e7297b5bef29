package quarantine

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// entry is the newest news about one content and when it came, on this router's clock.
type entry struct {
	news wire.Suspicion
	at   time.Time
}

// newer orders news about one content totally, so that merging by maximum is
// commutative, associative and idempotent. At equal Seq, which two routers reach
// when they find something at once, the graver news wins.
func newer(a, b wire.Suspicion) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	if a.Deaths != b.Deaths {
		return a.Deaths > b.Deaths
	}
	return !a.Cleared && b.Cleared
}

// deaths is the suspicion that is left at now. A confirmed content doesn't go free
// at once when it fades: for as long again it is a suspect that runs alone, so one
// more death confirms it again and hurts no batch.
func (e entry) deaths(now time.Time, c Config) int {
	age := now.Sub(e.at)
	switch {
	case e.news.Cleared || age >= 2*c.FadeAfter:
		return 0
	case age < c.FadeAfter:
		return int(e.news.Deaths)
	case int(e.news.Deaths) >= c.Limit:
		return c.Limit - 1
	default:
		return 0
	}
}

// forgotten entries have faded long ago. Until then a faded entry stays, because its
// Seq keeps a peer that fades later from bringing the same suspicion back for ever.
func (e entry) forgotten(now time.Time, c Config) bool { return now.Sub(e.at) >= 2*c.FadeAfter }
