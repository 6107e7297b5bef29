package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// doneEvent is the data of a stream's last event.
const doneEvent = "[DONE]"

// answer is what both forms of a completion, and each streamed event, hold.
type answer struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// streamReader checks one stream as it comes.
type streamReader struct {
	caller *Caller
	res    *Result
	last   time.Time
	usage  int // -1 until it came
	nextID int
}

// readStream reads server-sent events up to [DONE]. The answer is whole when each
// token came once, in order, and their number is that of the usage and of the request.
func (c *Caller) readStream(r *Result, body io.Reader) {
	s := streamReader{caller: c, res: r, usage: -1}
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadSlice('\n')
		if err == io.EOF {
			r.end(Cut, errors.Errorf("the stream ended cleanly after %d of %d tokens, without %s", r.Got, r.Tokens, doneEvent))
			return
		}
		if err != nil {
			r.end(Broken, errors.Annotatef(err, "after %d of %d tokens", r.Got, r.Tokens))
			return
		}
		done, err := s.line(bytes.TrimRight(line, "\r\n"))
		if err != nil {
			r.end(Cut, err)
			return
		}
		if done {
			_, _ = io.Copy(io.Discard, lines) // so that the connection is used again
			r.end(s.verdict())
			return
		}
	}
}

func (s *streamReader) line(line []byte) (done bool, err error) {
	if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		return false, s.id(bytes.TrimSpace(id))
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return false, nil
	}
	data = bytes.TrimSpace(data)
	if string(data) == doneEvent {
		return true, nil
	}
	return false, s.event(data)
}

// id checks that no event is missing and none comes twice.
func (s *streamReader) id(text []byte) error {
	n, err := strconv.Atoi(string(text))
	if err != nil || n != s.nextID {
		return errors.Errorf("event %q came, %d was next", text, s.nextID)
	}
	s.nextID++
	return nil
}

func (s *streamReader) event(data []byte) error {
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return errors.Annotatef(err, "event %.100q", data)
	}
	if len(a.Error) > 0 {
		return errors.Errorf("error inside the stream: %.200s", a.Error)
	}
	if a.Usage != nil {
		s.usage = a.Usage.CompletionTokens
	}
	if len(a.Choices) == 0 || a.Choices[0].Text == "" {
		return nil
	}
	if want := tokenText(s.res.Marker, s.res.Got); a.Choices[0].Text != want {
		return errors.Errorf("token %d is %q in place of %q", s.res.Got, a.Choices[0].Text, want)
	}
	s.token()
	return nil
}

func (s *streamReader) token() {
	now := time.Now()
	r := s.res
	if r.Got == 0 {
		r.First = now
	} else {
		r.Gaps = append(r.Gaps, now.Sub(s.last))
	}
	s.last = now
	r.Got++
	if s.caller.OnToken != nil {
		s.caller.OnToken(&r.Request, 1)
	}
}

func (s *streamReader) verdict() (Outcome, error) {
	if s.res.Got != s.res.Tokens || s.usage != s.res.Tokens {
		return Cut, errors.Errorf("%d tokens came, usage says %d, the answer has %d", s.res.Got, s.usage, s.res.Tokens)
	}
	return Whole, nil
}

// readPlain reads an answer in one piece.
func (c *Caller) readPlain(r *Result, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		r.end(Broken, err)
		return
	}
	var a answer
	if err := json.Unmarshal(data, &a); err != nil || a.Usage == nil || len(a.Choices) == 0 {
		r.end(Cut, errors.Errorf("an answer without choice or usage: %.200s", data))
		return
	}
	r.First, r.Got = time.Now(), a.Usage.CompletionTokens
	if c.OnToken != nil {
		c.OnToken(&r.Request, r.Got)
	}
	if r.Got != r.Tokens || a.Choices[0].Text != wholeText(r.Marker, r.Tokens) {
		r.end(Cut, errors.Errorf("%d tokens came, the answer has %d: %.200q", r.Got, r.Tokens, a.Choices[0].Text))
		return
	}
	r.end(Whole, nil)
}
