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

// recordedCall is the result of a "call" command as the audit sees it.
type recordedCall struct{ sent load.Sent }

// scriptedCall is the HTTP request of a "call" command.
type scriptedCall struct {
	vm      string
	method  string
	target  string
	header  http.Header
	body    string
	timeout time.Duration
}

// defaultCallTimeout is the timeout of a "call" command without -timeout.
const defaultCallTimeout = 10 * time.Second

// parseCall parses the arguments of "call VM METHOD TARGET [-H 'Name: value']... [-d BODY] [-timeout DURATION]".
func parseCall(args []string) (*scriptedCall, error) {
	if len(args) < 3 {
		return nil, errors.New("usage: call VM METHOD TARGET [-H 'Name: value']... [-d BODY] [-timeout DURATION]")
	}
	c := &scriptedCall{vm: args[0], method: args[1], target: args[2], header: http.Header{}, timeout: defaultCallTimeout}
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

func (c *scriptedCall) setFlag(name, value string) error {
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

// call sends the request to the caller address of the entry VM and prints the answer. A request without an idempotency
// key or load ID gets a load ID, by which the audit finds it in the journals of the backend servers.
func (f *Fleet) call(c *scriptedCall, out io.Writer) error {
	vm, found := f.callerViews[c.vm]
	if !found {
		return fmt.Errorf("no entry VM %q", c.vm)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	// A body that cannot be rewound keeps the HTTP transport from retrying the request on its own.
	body := io.NopCloser(strings.NewReader(c.body))
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+vm.CallerAddress+c.target, body)
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(c.body))
	req.Header = c.header
	if c.header.Get(header.IdempotencyKey) == "" && c.header.Get(backendserver.LoadIDHeader) == "" {
		c.header.Set(backendserver.LoadIDHeader, fmt.Sprintf("call-%d", len(f.calls)))
	}
	return f.sendCall(req, c.body, out)
}

// sendCall sends the request, records the result for the audit, and prints the status, the outcome, the Primrose headers
// and the beginning of the body.
func (f *Fleet) sendCall(req *http.Request, requestBody string, out io.Writer) error {
	resp, err := controlClient.Do(req)
	if err != nil {
		f.recordCall(req, requestBody, nil, "")
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		f.recordCall(req, requestBody, nil, "")
		return err
	}
	f.recordCall(req, requestBody, resp, string(answer))
	fmt.Fprintf(out, "status %d\noutcome %s\n", resp.StatusCode, resp.Header.Get(header.Outcome))
	for _, name := range []string{header.Reason, header.Remembered, header.RetryAfterMS} {
		if value := resp.Header.Get(name); value != "" {
			fmt.Fprintf(out, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintf(out, "body %s\n", answer[:min(len(answer), maxPrintedBody)])
	return nil
}

// maxPrintedBody is the number of bytes of an answer that are printed.
const maxPrintedBody = 400

// recordCall records the outcome that the caller received, for the audit. Without an answer (resp is nil) it is unknown.
func (f *Fleet) recordCall(req *http.Request, body string, resp *http.Response, answer string) {
	key := req.Header.Get(header.IdempotencyKey)
	sent := load.Sent{ID: key, Idempotent: key == "", Outcome: string(outcome.Unknown)}
	if key == "" {
		sent.ID = req.Header.Get(backendserver.LoadIDHeader)
	}
	if resp != nil {
		sent.Outcome, sent.Status = resp.Header.Get(header.Outcome), resp.StatusCode
		sent.AnswerMatches = backendserver.IsCorrectAnswer(answer, req.Method, req.URL.RequestURI(), body)
	}
	f.calls = append(f.calls, recordedCall{sent})
}
