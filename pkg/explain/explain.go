// Package explain tells a request's story from the logs of several routers.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/juju/errors"
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// around is the span before and after a request whose changes of belief are told with it.
const around = 3 * time.Second

// line is one line of a router's log.
type line struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

func (l line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Story is what the logs say of one request.
type Story struct {
	Request string
	// Requests are the request's own lines, Beliefs the changes at the same routers around
	// them.
	Requests, Beliefs []line
}

// ErrUnknown says that no line names the request.
const ErrUnknown = errors.ConstError("no line names the request")

// Read finds the story of a request in logs. Lines that are not in the logs' form are
// passed over: consoles put their own between.
func Read(request string, logs ...io.Reader) (*Story, error) {
	s := &Story{Request: request}
	var beliefs []line
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := parse(scanner.Bytes())
			switch {
			case !ok:
			case l.text("event") != "request":
				beliefs = append(beliefs, l)
			case l.text("request") == request:
				s.Requests = append(s.Requests, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Annotate(err, "read a log")
		}
	}
	if len(s.Requests) == 0 {
		return nil, errors.Annotatef(ErrUnknown, "%s", request)
	}
	s.Beliefs = s.near(beliefs)
	return s, nil
}

func parse(data []byte) (line, bool) {
	var l line
	if i := indexOf(data, '{'); i > 0 {
		data = data[i:] // a prefix of the console's
	}
	err := json.Unmarshal(data, &l)
	return l, err == nil && l.Fields != nil
}

func indexOf(data []byte, b byte) int {
	for i, c := range data {
		if c == b {
			return i
		}
	}
	return -1
}

// near keeps the changes at the request's routers while it ran and shortly before.
func (s *Story) near(beliefs []line) []line {
	var kept []line
	for _, b := range beliefs {
		for _, r := range s.Requests {
			took, _ := r.Fields["took_ms"].(float64)
			began := r.Timestamp.Add(-time.Duration(took) * time.Millisecond)
			if b.text("router") == r.text("router") && b.Timestamp.After(began.Add(-around)) && b.Timestamp.Before(r.Timestamp.Add(around)) {
				kept = append(kept, b)
				break
			}
		}
	}
	sort.SliceStable(kept, func(i, j int) bool { return kept[i].Timestamp.Before(kept[j].Timestamp) })
	return kept
}

// Print writes the story, oldest first.
func (s *Story) Print(w io.Writer) error {
	out := &printer{w: w}
	out.printf("Request %s\n", s.Request)
	for _, r := range s.Requests {
		out.request(r)
	}
	if len(s.Beliefs) > 0 {
		out.printf("\nWhat its routers came to know within %v:\n", around)
	}
	for _, b := range s.Beliefs {
		out.printf("  %s  %s  %s%s\n", b.Timestamp.UTC().Format(clock), b.text("router"), b.Message, details(b.Fields))
	}
	return errors.Trace(out.err)
}

const clock = "15:04:05.000"

// printer keeps the first error of several writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) request(r line) {
	f := r.Fields
	p.printf("\n  %s  %s: %s, status %v, after %v ms, configuration %v\n", r.Timestamp.UTC().Format(clock), r.text("router"),
		r.text("outcome"), f["status"], f["took_ms"], f["config"])
	for _, name := range []string{"route", "service", "organisation", "standing", "reason"} {
		if v, ok := f[name]; ok {
			p.printf("    %s: %v\n", name, v)
		}
	}
	if d, ok := f["decided_by"].(map[string]any); ok {
		p.printf("    decided by:%s\n", details(d))
	}
	attempts, _ := f["attempts"].([]any)
	for i, a := range attempts {
		if fields, ok := a.(map[string]any); ok {
			p.printf("    attempt %d:%s\n", i+1, details(fields))
		}
	}
}

// details gives fields in order of name, without those that say where a line is from.
func details(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if name != "router" && name != "event" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, fields[name])
	}
	return text
}
