package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/load"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
)

// callRecord is one call by hand, for the audit.
type callRecord struct{ sent load.Sent }

// handCall is one HTTP request by hand.
type handCall struct {
	vm      string
	method  string
	target  string
	header  http.Header
	body    string
	timeout time.Duration
}

// defaultCallTimeout bounds a call by hand.
const defaultCallTimeout = 10 * time.Second

// parseCall reads "call VM METHOD TARGET [-H 'Name: value']... [-d BODY] [-timeout DURATION]".
func parseCall(args []string) (*handCall, error) {
	if len(args) < 3 {
		return nil, errors.New("usage: call VM METHOD TARGET [-H 'Name: value']... [-d BODY] [-timeout DURATION]")
	}
	c := &handCall{vm: args[0], method: args[1], target: args[2], header: http.Header{}, timeout: defaultCallTimeout}
	rest := args[3:]
	for ; len(rest) >= 2; rest = rest[2:] {
		if err := c.setFlag(rest[0], rest[1]); err != nil {
			return nil, err
		}
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("%s needs a value", rest[0])
	}
	return c, nil
}

func (c *handCall) setFlag(name, value string) error {
	var err error
	switch name {
	case "-H":
		key, text, found := strings.Cut(value, ":")
		if !found {
			return fmt.Errorf("header %q has no colon", value)
		}
		c.header.Add(strings.TrimSpace(key), strings.TrimSpace(text))
	case "-d":
		c.body = value
	case "-timeout":
		c.timeout, err = time.ParseDuration(value)
	default:
		return fmt.Errorf("unknown flag %s", name)
	}
	return err
}

// call sends the request and prints the answer.
func (f *Fleet) call(c *handCall, out io.Writer) error {
	vm, found := f.forCallers[c.vm]
	if !found {
		return fmt.Errorf("no entry VM %q", c.vm)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	// The body cannot be read twice, so that the transport does not send the request again by itself.
	body := io.NopCloser(strings.NewReader(c.body))
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+vm.CallerAddress+c.target, body)
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(c.body))
	req.Header = c.header
	if c.header.Get(header.IdempotencyKey) == "" && c.header.Get(backendserver.LoadID) == "" {
		c.header.Set(backendserver.LoadID, fmt.Sprintf("call-%d", len(f.calls)))
	}
	return f.exchange(req, c.body, out)
}

func (f *Fleet) exchange(req *http.Request, body string, out io.Writer) error {
	resp, err := controlClient.Do(req)
	if err != nil {
		f.record(req, body, nil, "")
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		f.record(req, body, nil, "")
		return err
	}
	f.record(req, body, resp, string(answer))
	fmt.Fprintf(out, "status %d\noutcome %s\n", resp.StatusCode, resp.Header.Get(header.Outcome))
	for _, name := range []string{header.Reason, header.Remembered, header.RetryAfterMS} {
		if value := resp.Header.Get(name); value != "" {
			fmt.Fprintf(out, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintf(out, "body %s\n", answer[:min(len(answer), maxPrintedBody)])
	return nil
}

// maxPrintedBody bounds what is printed of an answer.
const maxPrintedBody = 400

// record keeps for the audit what the caller was told. Without an answer that is nothing.
func (f *Fleet) record(req *http.Request, body string, resp *http.Response, answer string) {
	key := req.Header.Get(header.IdempotencyKey)
	sent := load.Sent{ID: key, Idempotent: key == "", Outcome: string(outcome.Unknown)}
	if key == "" {
		sent.ID = req.Header.Get(backendserver.LoadID)
	}
	if resp != nil {
		sent.Outcome, sent.Status = resp.Header.Get(header.Outcome), resp.StatusCode
		sent.AnswerMatches = backendserver.IsOwnAnswer(answer, req.Method, req.URL.RequestURI(), body)
	}
	f.calls = append(f.calls, callRecord{sent})
}
