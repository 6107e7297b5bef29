package gatewayd

import (
	"cmp"
	"slices"

	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/status"
)

// maxShownSuspects bounds the suspects on the status page. A mass crash makes thousands.
const maxShownSuspects = 100

// suspects returns what upstreams crashed under: what is refused first, then by crashes.
func suspects(b *quarantine.Book) []status.Suspect {
	list := make([]status.Suspect, 0)
	for _, s := range b.Suspects() {
		list = append(list, status.Suspect{Kind: gateway.SubjectKind(s.Part), Subject: gateway.FormatSubject(s.Subject), Crashes: s.Crashes,
			LastCrashMs: s.LastCrash.Milliseconds(), RefusedMs: s.Remaining.Milliseconds()})
	}
	slices.SortFunc(list, func(a, b status.Suspect) int {
		return cmp.Or(cmp.Compare(b.RefusedMs, a.RefusedMs), cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Subject, b.Subject))
	})
	return list[:min(len(list), maxShownSuspects)]
}
