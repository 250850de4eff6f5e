// Package client sends requests through primroseladder as a caller should: it asks a keeper which VMs to use and caches the
// answer for its lifetime, numbers the sends of each idempotency key, and waits a jittered delay after a refusal.
//
// A request whose outcome is unknown is never sent as a new one: if it has an idempotency key, a resend has the next send
// number of that key.
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
	"github.com/primroseladder/primroseladder/internal/httpstatus"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// Settings are the settings of a client.
type Settings struct {
	// Keepers are the base URLs of the keepers that are asked which VMs to use.
	Keepers []string
	// Region is the region whose VMs are used. If empty, it is the region of the keeper that is asked.
	Region string
	// MaxSends bounds the sends of one request. Default 4.
	MaxSends int
	// MaxAnswerBytes is the maximum size of an answer's body in bytes. Default 64 MiB. A larger answer counts as none, and its
	// request as one that may have run.
	MaxAnswerBytes int64
	// RetryRefused has a refused request sent again after the retry delay that the refusal states, if it states one.
	RetryRefused bool
}

// Request is a request for a service.
type Request struct {
	Service      string
	Method       string
	Target       string
	Header       http.Header
	Body         []byte
	Organisation string
	// Key is the idempotency key. It is empty for idempotent requests.
	Key string
	// Timeout is sent to the system and bounds each send. 0 means the service's own timeout.
	Timeout time.Duration
}

// Result is the result of a request.
type Result struct {
	// Outcome is "done", "not-run" or "unknown".
	Outcome string
	// Reason states why there is no answer of a backend server. It is empty if there is one.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Remembered is set if the answer was already given to an earlier send of the key.
	Remembered bool
	// Sends is the number of times that the request was sent.
	Sends int
}

// ErrNoAddress is returned if no keeper named a VM to use for the service.
var ErrNoAddress = errors.New("no keeper named a VM to use for the service")

// defaultMaxSends replaces a Settings.MaxSends of 0.
const defaultMaxSends = 4

const (
	// defaultMaxAnswerBytes replaces a Settings.MaxAnswerBytes of 0.
	defaultMaxAnswerBytes = 64 << 20
	// maxAddressesBytes limits a keeper's list of VMs to use, and maxHeaderBytes the header of every response.
	maxAddressesBytes = 1 << 20
	maxHeaderBytes    = 128 << 10
)

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client

	mu sync.Mutex
	// cache holds the newest address list by service.
	cache map[string]addressList
}

// addressList is a keeper's list of VMs to use, and the time at which it expires.
type addressList struct {
	addresses []string
	expires   time.Time
}

// New returns a client without cached addresses.
func New(s Settings) *Client {
	if s.MaxSends == 0 {
		s.MaxSends = defaultMaxSends
	}
	if s.MaxAnswerBytes == 0 {
		s.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	// net/http would follow a redirect with the send number of the previous send.
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		settings: s, http: &http.Client{Transport: transport, CheckRedirect: noRedirects}, cache: map[string]addressList{},
	}
}

// NewKey returns a new random idempotency key.
func NewKey() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Do sends a request, at most MaxSends times, and returns its result. An error means that nothing was sent.
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
			// This send did not run, but the one whose answer was lost may have.
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

// shouldResend reports whether a request was refused with a retry delay and the settings ask for a resend.
func (c *Client) shouldResend(r *Result) bool {
	return c.settings.RetryRefused && r.Outcome == string(outcome.NotRun) && r.Header.Get(header.RetryAfterMS) != ""
}

// sendState tracks the sends of one request.
type sendState struct {
	// count is the number of sends so far.
	count int
	// number is the number of the last send.
	number uint32
	// notRunThrough is the highest send number that was answered not-run.
	notRunThrough uint32
	// lostAnswer is set once a send got no answer.
	lostAnswer bool
	// resolving is set once the request is sent again to find out an outcome that was reported as unknown.
	resolving bool
}

// resolvableReasons are reasons of an unknown outcome. If one of them is given, another VM may know how the request ended.
var resolvableReasons = []outcome.Reason{
	outcome.ReasonPeerLost, outcome.ReasonHomeUnreachable, outcome.ReasonStillRunning, outcome.ReasonStopping,
}

// shouldResolve reports, at most once for a request, whether a send through another VM may find out an unknown outcome. The
// system does not run the request for that send.
func (s *sendState) shouldResolve(r Request, result *Result) bool {
	if r.Key == "" || s.resolving || result.Outcome != string(outcome.Unknown) {
		return false
	}
	s.resolving = slices.Contains(resolvableReasons, outcome.Reason(result.Reason))
	return s.resolving
}

// send sends the request once. It returns false if no connection was established, so that nothing was sent.
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
	if !httpstatus.IsFinal(resp.StatusCode) {
		return nil, true, fmt.Errorf("the answer from %s has the status %q, which HTTP does not allow", address, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.settings.MaxAnswerBytes+1))
	if err != nil {
		return nil, true, err
	}
	if int64(len(body)) > c.settings.MaxAnswerBytes {
		return nil, true, fmt.Errorf("the answer from %s exceeds %d bytes", address, c.settings.MaxAnswerBytes)
	}
	return &Result{
		Outcome: readOutcome(resp.Header), Reason: resp.Header.Get(header.Reason), Status: resp.StatusCode,
		Header: resp.Header, Body: body, Remembered: resp.Header.Get(header.Remembered) == "true",
	}, true, nil
}

// newRequest returns the HTTP request for one send.
func (c *Client) newRequest(ctx context.Context, address string, r Request, number, notRunThrough uint32) (*http.Request, error) {
	var body io.Reader
	if r.Key != "" || len(r.Body) > 0 {
		// net/http's transport resends requests by itself only if it can rewind the body. It cannot rewind this one.
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

// readOutcome returns the outcome that the system reported. An answer without one does not come from the system, so the
// outcome is unknown.
func readOutcome(h http.Header) string {
	reported := outcome.Outcome(h.Get(header.Outcome))
	if reported != outcome.Done && reported != outcome.NotRun {
		return string(outcome.Unknown)
	}
	return string(reported)
}

// meanRoundDelay is the mean wait after all addresses refused the connection.
const meanRoundDelay = 100 * time.Millisecond

// waitAfterRound waits a jittered delay if attempt, counted from 0, was the last one of a round through all addresses.
func waitAfterRound(ctx context.Context, attempt, addresses int) {
	if (attempt+1)%addresses != 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(meanRoundDelay/2 + mathrand.N(meanRoundDelay)):
	}
}

// waitRetryDelay waits for the retry delay that the answer states, and up to an eighth more. That little jitter is enough
// because the system already spreads the delays of its callers.
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

// Addresses returns the addresses of the VMs to use for a service, in the order in which to try them. If no keeper answers,
// it returns the expired list, if there is one.
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

// rotateRandomly returns a copy of the list that begins at a random element.
func rotateRandomly(addresses []string) []string {
	at := mathrand.IntN(len(addresses))
	return append(append([]string(nil), addresses[at:]...), addresses[:at]...)
}

// discardAddresses removes a service from the cache.
func (c *Client) discardAddresses(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, service)
}

// fetchAddresses asks the keepers, starting with a random one, until one names a VM.
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

// answerGrace is how much longer a client waits than the timeout that it sends to the system, so that an answer which the
// system sends at the end of the timeout still arrives.
const answerGrace = 500 * time.Millisecond

// addressTimeout bounds one request to a keeper.
const addressTimeout = 2 * time.Second

// fetchAddressesFrom asks one keeper. The list's lifetime counts from before the request, so that it is never used too long.
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
		return addressList{}, fmt.Errorf("request addresses from keeper %s: status %d", keeper, resp.StatusCode)
	}
	var reply struct {
		Addresses []string `json:"addresses"`
		KeepMS    int64    `json:"keep_ms"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAddressesBytes)).Decode(&reply); err != nil {
		return addressList{}, fmt.Errorf("decode addresses from keeper %s: %w", keeper, err)
	}
	return addressList{reply.Addresses, requestedAt.Add(time.Duration(reply.KeepMS) * time.Millisecond)}, nil
}
