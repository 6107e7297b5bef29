package gatewayd

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// maxLoggedOrgs is how many organisations a round tells of, those that ask most of this router.
const maxLoggedOrgs = 3

// shareUsage tells what organisations over their share ask of this router and get from it, beside
// what they get from the whole fleet as far as this router knows. Without it, whether a router
// holds an organisation back by an old or a poor picture can't be told from the logs.
type shareUsage struct {
	shares *placement.Shares
	// capacity is what all engines do together, in tokens a second; 0 while it isn't known.
	capacity func() float64
	log      log.Interface
}

// report writes a line for each of the organisations that ask most, if they are over their share.
func (u *shareUsage) report(now time.Time) {
	capacity := u.capacity()
	if capacity <= 0 {
		return
	}
	own, all := u.shares.Own(now), u.shares.All(now)
	for _, org := range topAsking(own) {
		standing := u.shares.Standing(org, capacity, now)
		if standing.ShareRatio <= 1 {
			continue
		}
		ownUse, fleetUse := own[org], all[org]
		behind := leastServed(all, fleetUse.Got)
		u.log.WithFields(log.Fields{"event": "organisation_use", "organisation": org,
			"asked": int(ownUse.Asked), "got": int(ownUse.Got), "begun": int(ownUse.Begun),
			"fleet_asked": int(fleetUse.Asked), "fleet_got": int(fleetUse.Got),
			"standing": roundHundredths(standing.ShareRatio), "ahead": roundHundredths(standing.Ahead), "behind": behind, "behind_got": int(all[behind].Got)}).Info("organisation is over its share")
	}
}

// leastServed gives the organisation that gets least of those that ask for as much as got.
func leastServed(all map[string]placement.Use, got float64) string {
	least := ""
	for org, use := range all {
		if use.Asked >= got && (least == "" || use.Got < all[least].Got) {
			least = org
		}
	}
	return least
}

// roundHundredths rounds for the log.
func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// topAsking gives the organisations that ask most, the first one most.
func topAsking(own map[string]placement.Use) []string {
	names := make([]string, 0, len(own))
	for name, use := range own {
		if use.Asked >= 1 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(own[b].Asked, own[a].Asked), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxLoggedOrgs)]
}
