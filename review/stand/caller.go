package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id, path, prompt, parts string
	body                    string
	deadline                time.Duration
	// after is the last event that the caller has of a stream that it takes up again, first the attempt that began it.
	after int
	first string
}

// answer is what a caller saw.
type answer struct {
	request
	status int
	// whole says that the answer came to its end; err is what ended it otherwise.
	whole bool
	err   error
	// events are the ids of the events that came, data what they hold.
	events []int
	data   []string
	stamp  string
	began  time.Time
	ended  time.Time
}

// client opens a connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends a request to a router and reads the whole answer.
func (w *world) send(r *router, req request) answer {
	a := answer{request: req, began: time.Now()}
	w.note("caller sends %s %s to %s, after event %d", req.id, req.path, r.name, req.after)
	a.status, a.stamp, a.whole, a.err = exchange(r.settings.Listen.Callers, &a)
	a.ended = time.Now()
	last := req.after
	if len(a.events) > 0 {
		last = a.events[len(a.events)-1]
	}
	w.note("caller of %s got %d, whole %v, %d events up to %d, stamp %q, error %v", req.id, a.status, a.whole, len(a.events), last, a.stamp, a.err)
	return a
}

func exchange(addr string, a *answer) (status int, stamp string, whole bool, err error) {
	in, err := http.NewRequest(http.MethodPost, "http://"+addr+a.path, strings.NewReader(a.body))
	if err != nil {
		return 0, "", false, err
	}
	in.Host = host
	in.Header.Set("Request-Id", a.id)
	in.Header.Set("Authorization", "Bearer "+key)
	in.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	if a.prompt != "" {
		in.Header.Set("Model", "m")
		in.Header.Set("Token-Counts", a.prompt)
		in.Header.Set("Prefix-Hash", a.parts)
	}
	if a.first != "" {
		in.Header.Set("Last-Event-Id", strconv.Itoa(a.after))
		in.Header.Set("Resumes", a.first)
	}
	resp, err := client.Do(in)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	for event := range bytes.SplitSeq(body, []byte("\n\n")) {
		a.addEvent(string(event))
	}
	return resp.StatusCode, resp.Header.Get("Server-Stamp"), err == nil, err
}

func (a *answer) addEvent(event string) {
	text, rest, ok := strings.Cut(event, "\n")
	number, isID := strings.CutPrefix(text, "id: ")
	if n, err := strconv.Atoi(number); ok && isID && err == nil {
		a.events = append(a.events, n)
		a.data = append(a.data, strings.TrimPrefix(rest, "data: "))
	}
}
