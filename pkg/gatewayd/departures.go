package gatewayd

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	// maxLeavingReported bounds the announced departures that a report holds, and those that are accepted
	// from one.
	maxLeavingReported = 256
	// maxLeavingAgeMs bounds the age of an announcement, in milliseconds.
	maxLeavingAgeMs = 3_600_000
)

// encodeDepartures encodes announced departures for a report.
func encodeDepartures(list []catalog.Departure, now time.Time) []fleet.LeavingUpstream {
	if len(list) == 0 {
		return nil
	}
	leaving := make([]fleet.LeavingUpstream, 0, len(list))
	for _, d := range list[:min(len(list), maxLeavingReported)] {
		leaving = append(leaving, fleet.LeavingUpstream{Instance: string(d.Life.ID), Life: d.Life.Start, AgeMs: max(0, now.Sub(d.At).Milliseconds())})
	}
	return leaving
}

// MergeLeaving merges the announced departures that another router knows of.
func (ls *localState) MergeLeaving(peer fleet.Member, list []fleet.LeavingUpstream, createdAt time.Time) {
	for _, l := range list[:min(len(list), maxLeavingReported)] {
		age := time.Duration(min(max(0, l.AgeMs), maxLeavingAgeMs)) * time.Millisecond
		ls.catalog.NoteDeparture(catalog.Departure{Life: upstream.Life{ID: upstream.ID(l.Instance), Start: l.Life}, At: createdAt.Add(-age)}, "peer "+peer.Name)
	}
}
