package main

import (
	"context"
	"fmt"
	"sync"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
)

// demoTokens is the length of the demo's answers.
const demoTokens = 24

var demoForms = []load.Form{load.Streamed, load.Plain, load.ServiceCall, load.ServiceSave}

// demoRequests are rounds requests for each router, organisation and form.
func demoRequests(ready devfleet.Ready, rounds int) []load.Request {
	var list []load.Request
	for round := range rounds {
		for _, r := range ready.Routers {
			for _, org := range ready.Organisations {
				for _, form := range demoForms {
					list = append(list, load.Request{
						Marker: fmt.Sprintf("demo-%d-%s-%s-%s", round, r.ID, org.Name, form),
						Org:    org, Class: load.Normal, Form: form, Entry: r.Entry,
						Tokens: demoTokens + round,
					})
				}
			}
		}
	}
	return list
}

// sendAll sends all requests at once and waits for the answers.
func sendAll(ctx context.Context, caller *load.Caller, requests []load.Request) []load.Result {
	results := make([]load.Result, len(requests))
	var all sync.WaitGroup
	for i, q := range requests {
		all.Go(func() { results[i] = caller.Do(ctx, q) })
	}
	all.Wait()
	return results
}
