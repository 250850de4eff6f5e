// Package client sends requests through primroseladder as a caller should: it asks which VMs to use and keeps the
// answer for its time, numbers the sends of each idempotency key, and waits a jittered time after a refusal.
//
// A request of which the outcome is unknown is never sent as a new one.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// Settings of a client.
type Settings struct {
	// Keepers are base URLs at which to ask which VMs to use.
	Keepers []string
	// Region is the region whose VMs are used. Empty is the region of the keeper that is asked.
	Region string
	// MaxSends bounds the sends of one request. Default 4.
	MaxSends int
	// RetryRefused sends a refused request again after the wait that the system asks for.
	RetryRefused bool
}

// Request is one piece of work.
type Request struct {
	Service      string
	Method       string
	Target       string
	Header       http.Header
	Body         []byte
	Organisation string
	// Key is the idempotency key. Empty for idempotent work.
	Key     string
	Timeout time.Duration
}

// Result is how a request ended.
type Result struct {
	// Outcome is "done", "not-run" or "unknown".
	Outcome string
	// Reason tells why there is no answer of a backend server.
	Reason     string
	Status     int
	Header     http.Header
	Body       []byte
	Remembered bool
	Sends      int
}

// ErrNoAddress means that no keeper told which VMs to use.
var ErrNoAddress = errors.New("no keeper told which VMs to use")

const defaultMaxSends = 4

// Client sends requests.
type Client struct {
	settings Settings
	http     *http.Client

	mu    sync.Mutex
	cache map[string]addressList
}

type addressList struct {
	addresses []string
	expires   time.Time
}

// New returns a client.
func New(s Settings) *Client {
	if s.MaxSends == 0 {
		s.MaxSends = defaultMaxSends
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	// A redirect would be followed with the number of the send before.
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{settings: s, http: &http.Client{Transport: transport, CheckRedirect: noRedirects}, cache: map[string]addressList{}}
}

// NewKey returns a fresh idempotency key.
func NewKey() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Do carries out a request. An error means that nothing was sent.
func (c *Client) Do(ctx context.Context, r Request) (*Result, error) {
	addresses, err := c.Addresses(ctx, r.Service)
	if err != nil {
		return nil, err
	}
	state := &sendState{}
	var last *Result
	for attempt := 0; attempt < c.settings.MaxSends; attempt++ {
		address := addresses[attempt%len(addresses)]
		result, sent, err := c.send(ctx, address, r, state)
		if !sent {
			c.discardAddresses(r.Service)
			waitAfterRound(ctx, attempt, len(addresses))
			continue
		}
		state.count++
		if err != nil {
			state.lostAnswer = true
			last = &Result{Outcome: string(outcome.Unknown), Reason: "no-answer", Sends: state.count}
			continue
		}
		result.Sends = state.count
		if state.lostAnswer && result.Outcome == string(outcome.NotRun) {
			// This send was not run, but the one without an answer may have been.
			result.Outcome = string(outcome.Unknown)
			return result, nil
		}
		last = result
		if !c.shouldResend(result) && !state.shouldResolve(r, result) {
			return result, nil
		}
		if result.Outcome == string(outcome.NotRun) {
			state.notRunThrough = state.number
		}
		waitRetryDelay(ctx, result.Header)
	}
	if last == nil {
		return &Result{Outcome: string(outcome.NotRun), Reason: "no-connection"}, nil
	}
	return last, nil
}

func (c *Client) shouldResend(r *Result) bool {
	return c.settings.RetryRefused && r.Outcome == string(outcome.NotRun) && r.Header.Get(header.RetryAfterMS) != ""
}

// sendState numbers the sends of one key.
type sendState struct {
	count         int
	number        uint32
	notRunThrough uint32
	// lostAnswer is set once a send has had no answer.
	lostAnswer bool
	// resolving is set once a send was made to learn an outcome that was told to be unknown.
	resolving bool
}

// resolvableReasons are those for which another VM may know the outcome.
var resolvableReasons = []outcome.Reason{
	outcome.ReasonPeerLost, outcome.ReasonHomeUnreachable, outcome.ReasonStillRunning, outcome.ReasonStopping,
}

// shouldResolve reports, once for a request, whether another send through another VM may tell an unknown outcome. The
// system does not run that send.
func (s *sendState) shouldResolve(r Request, result *Result) bool {
	if r.Key == "" || s.resolving || result.Outcome != string(outcome.Unknown) {
		return false
	}
	s.resolving = slices.Contains(resolvableReasons, outcome.Reason(result.Reason))
	return s.resolving
}

// send sends the request once. It reports false where no connection was made.
func (c *Client) send(ctx context.Context, address string, r Request, s *sendState) (*Result, bool, error) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout+answerGrace)
		defer cancel()
	}
	req, err := c.newRequest(ctx, address, r, s.number+1, s.notRunThrough)
	if err != nil {
		return nil, false, err
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if !connected {
		return nil, false, err
	}
	s.number++
	if err != nil {
		return nil, true, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, true, err
	}
	return &Result{
		Outcome: readOutcome(resp.Header), Reason: resp.Header.Get(header.Reason), Status: resp.StatusCode,
		Header: resp.Header, Body: body, Remembered: resp.Header.Get(header.Remembered) == "true",
	}, true, nil
}

func (c *Client) newRequest(ctx context.Context, address string, r Request, number, notRunThrough uint32) (*http.Request, error) {
	var body io.Reader
	if r.Key != "" || len(r.Body) > 0 {
		// A body that the transport cannot rewind keeps it from sending the request twice by itself.
		body = io.NopCloser(bytes.NewReader(r.Body))
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if r.Organisation != "" {
		req.Header.Set(header.Organisation, r.Organisation)
	}
	if r.Timeout > 0 {
		req.Header.Set(header.TimeoutMS, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	if r.Key != "" {
		req.Header.Set(header.IdempotencyKey, r.Key)
		req.Header.Set(header.SendNumber, strconv.FormatUint(uint64(number), 10))
		if notRunThrough > 0 {
			req.Header.Set(header.NotRunThrough, strconv.FormatUint(uint64(notRunThrough), 10))
		}
	}
	return req, nil
}

// readOutcome returns what the system told. An answer without it is not from the system, so that nothing is known.
func readOutcome(h http.Header) string {
	reported := outcome.Outcome(h.Get(header.Outcome))
	if reported != outcome.Done && reported != outcome.NotRun {
		return string(outcome.Unknown)
	}
	return string(reported)
}

// meanRoundDelay is the mean wait after all addresses refused the connection.
const meanRoundDelay = 100 * time.Millisecond

// waitAfterRound waits a jittered time after all addresses were tried in vain.
func waitAfterRound(ctx context.Context, attempt, addresses int) {
	if (attempt+1)%addresses != 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(meanRoundDelay/2 + mathrand.N(meanRoundDelay)):
	}
}

// waitRetryDelay waits what the answer asks for and up to an eighth more. The system has spread its callers already.
func waitRetryDelay(ctx context.Context, h http.Header) {
	ms, _ := strconv.ParseInt(h.Get(header.RetryAfterMS), 10, 64)
	wait := time.Duration(ms) * time.Millisecond
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait + mathrand.N(wait/8+1)):
	}
}

// Addresses returns the VMs to use for a service, in the order to try them.
func (c *Client) Addresses(ctx context.Context, service string) ([]string, error) {
	c.mu.Lock()
	cached, found := c.cache[service]
	c.mu.Unlock()
	if found && time.Now().Before(cached.expires) {
		return rotateRandomly(cached.addresses), nil
	}
	fresh, err := c.fetchAddresses(ctx, service)
	if err != nil && found {
		return rotateRandomly(cached.addresses), nil
	}
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.cache[service] = fresh
	c.mu.Unlock()
	return rotateRandomly(fresh.addresses), nil
}

func rotateRandomly(addresses []string) []string {
	at := mathrand.IntN(len(addresses))
	return append(append([]string(nil), addresses[at:]...), addresses[:at]...)
}

func (c *Client) discardAddresses(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, service)
}

func (c *Client) fetchAddresses(ctx context.Context, service string) (addressList, error) {
	var errs []error
	for _, keeper := range rotateRandomly(c.settings.Keepers) {
		a, err := c.fetchAddressesFrom(ctx, keeper, service)
		if err == nil && len(a.addresses) > 0 {
			return a, nil
		}
		errs = append(errs, err)
	}
	return addressList{}, errors.Join(append([]error{ErrNoAddress}, errs...)...)
}

// answerGrace is how much longer than the timeout that it tells the system a client waits, so that the answer which
// the system gives at the end of the timeout still arrives.
const answerGrace = 500 * time.Millisecond

const addressTimeout = 2 * time.Second

func (c *Client) fetchAddressesFrom(ctx context.Context, keeper, service string) (addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	query := url.Values{"service": {service}}
	if c.settings.Region != "" {
		query.Set("region", c.settings.Region)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, keeper+"/v1/addresses?"+query.Encode(), nil)
	if err != nil {
		return addressList{}, err
	}
	requestedAt := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return addressList{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return addressList{}, fmt.Errorf("keeper %s: status %d", keeper, resp.StatusCode)
	}
	var reply struct {
		Addresses []string `json:"addresses"`
		KeepMS    int64    `json:"keep_ms"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return addressList{}, err
	}
	return addressList{reply.Addresses, requestedAt.Add(time.Duration(reply.KeepMS) * time.Millisecond)}, nil
}
