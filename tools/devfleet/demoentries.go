package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
)

// Bounds of the wait for routers that have just started to know each other.
const (
	entriesWithin = 10 * time.Second
	entriesEvery  = 100 * time.Millisecond
)

// awaitEntries asks every router which addresses to use, until together they name
// all of the fleet. A name that isn't of this fleet is a fault at once.
func awaitEntries(ctx context.Context, ready devfleet.Ready) error {
	ctx, cancel := context.WithTimeout(ctx, entriesWithin)
	defer cancel()
	pace := rate.NewLimiter(rate.Every(entriesEvery), 1)
	for {
		known, lines, err := askAll(ctx, ready)
		if err != nil {
			return err
		}
		missing := allKnown(known)
		if missing == nil {
			fmt.Println(strings.Join(lines, "\n"))
			return nil
		}
		if pace.Wait(ctx) != nil {
			return errors.Annotatef(missing, "after %s", entriesWithin)
		}
	}
}

// askAll asks each router once. known tells which entries were named by anyone.
func askAll(ctx context.Context, ready devfleet.Ready) (known map[string]bool, lines []string, err error) {
	known = make(map[string]bool)
	for _, r := range ready.Routers {
		known[r.Entry] = false
	}
	for _, r := range ready.Routers {
		answer, err := load.AskEntries(ctx, r.Entry, ready.Organisations[0].Name, ready.Model)
		if err != nil {
			return nil, nil, err
		}
		if err := markKnown(known, answer.Entries); err != nil {
			return nil, nil, err
		}
		lines = append(lines, fmt.Sprintf("%s (%s) names entries %v, to keep for %d s", r.ID, r.Entry, answer.Entries, answer.KeepSeconds))
	}
	return known, lines, nil
}

func markKnown(known map[string]bool, entries []string) error {
	if len(entries) == 0 {
		return errors.New("a router named no entry at all")
	}
	for _, e := range entries {
		if _, ok := known[e]; !ok {
			return errors.Errorf("a router named %s, which is no entry of this fleet", e)
		}
		known[e] = true
	}
	return nil
}

func allKnown(known map[string]bool) error {
	for entry, named := range known {
		if !named {
			return errors.Errorf("no router named %s", entry)
		}
	}
	return nil
}
