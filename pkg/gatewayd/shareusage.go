package gatewayd

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// maxLoggedOrgs is the number of organisations considered in a round: those that ask most of this
// router.
const maxLoggedOrgs = 3

// shareUsage reports what organisations over their share ask of this router and get from it, and
// what they get from the whole fleet as far as this router knows. Without it the logs don't show
// whether a router limits an organisation because of outdated or incomplete data.
type shareUsage struct {
	shares *placement.Shares
	// capacity returns the capacity of all engines, in tokens a second; 0 while it isn't known.
	capacity func() float64
	log      log.Interface
}

// report logs each of the organisations that ask most, if it is over its share.
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

// leastServed returns the organisation that gets least among those that ask for at least got.
func leastServed(all map[string]placement.Use, got float64) string {
	least := ""
	for org, use := range all {
		if use.Asked >= got && (least == "" || use.Got < all[least].Got) {
			least = org
		}
	}
	return least
}

// roundHundredths rounds x to hundredths for the log.
func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// topAsking returns the organisations that ask most, in descending order.
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
