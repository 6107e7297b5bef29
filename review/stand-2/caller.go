package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// call is one attempt of a requester.
type call struct {
	id, addr, path string
	header         map[string]string
	// limit is how long the requester waits.
	limit time.Duration
}

// answer is what it got.
type answer struct {
	sentAt, endedAt time.Time
	status          int
	// own is whether the answer has the stamp of its own request.
	own bool
	// events is the number of events that arrived, whole whether the answer came to its end.
	events int
	whole  bool
	body   string
	err    error
}

// newChannel opens a new channel for each request.
var newChannel = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request with a body of its own and reads the answer to its end.
func send(ctx context.Context, c call) (a answer) {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+c.path, strings.NewReader("body of "+c.id))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Request-Id", c.id)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Deadline-Ms", "12000")
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	resp, err := newChannel.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.own = resp.StatusCode, resp.Header.Get("Server-Stamp") == stamp(c.id)
	a.read(resp.Body)
	return a
}

// read reads the answer's body.
func (a *answer) read(body io.Reader) {
	r := bufio.NewReader(body)
	for {
		line, err := r.ReadString('\n')
		a.events = max(a.events, eventNumber(line))
		if len(a.body) < 200 {
			a.body += line
		}
		switch {
		case errors.Is(err, io.EOF):
			a.whole = true
			return
		case err != nil:
			a.err = err
			return
		}
	}
}

// resolved is the answer of a node that serves the directory.
type resolved struct {
	Addrs []string
	TtlS  float64
}

// resolve asks a node where to connect, and waits for a second.
func resolve(ctx context.Context, addr string) (r resolved, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q := url.Values{"Name": {host}, "Region": {"gt-central"}, "Zone": {zone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/resolve?"+q.Encode(), nil)
	if err != nil {
		return r, err
	}
	resp, err := newChannel.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.New(resp.Status)
	}
	return r, json.NewDecoder(resp.Body).Decode(&r)
}
