package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/httpstatus"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

const (
	// callTimeout is the timeout of a call. A blocking query has it in addition to its wait time.
	callTimeout = 3 * time.Second
	// maxResponseBytes limits the response to a read of several keys.
	maxResponseBytes = 32 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 16 << 10
)

// Client implements Store over HTTP. It counts its calls and limits their rate.
type Client struct {
	baseURL string
	http    *http.Client
	reads   *limiter
	writes  *limiter
}

// NewClient returns a client for the service at the base URL.
func NewClient(baseURL string) *Client {
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}},
		reads:   newLimiter(readsPerSecond, readBurst),
		writes:  newLimiter(writesPerSecond, writeBurst),
	}
}

// Calls returns the number of calls so far. A blocking query counts as one.
func (c *Client) Calls() int64 { return c.Reads() + c.Writes() }

// Reads returns the number of reads so far, including blocking queries.
func (c *Client) Reads() int64 { return c.reads.calls.Load() }

// Writes returns the number of writes so far.
func (c *Client) Writes() int64 { return c.writes.calls.Load() }

// kvPair is an element of the JSON array in the response to a read.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// readResult is the body of the response to a read, with the service's index from its header.
type readResult struct {
	body    []byte
	index   uint64
	missing bool
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, _, err := c.readOne(ctx, key, url.Values{"consistent": {""}})
	return value, err
}

// Wait implements Store.
func (c *Client) Wait(ctx context.Context, key string, index uint64, timeout time.Duration) (Value, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+callTimeout)
	defer cancel()
	query := url.Values{"consistent": {""}, "index": {strconv.FormatUint(index, 10)}, "wait": {timeout.String()}}
	value, next, err := c.readOne(ctx, key, query)
	if next < index {
		// The service was restored from a backup, so its index was reset.
		next = 0
	}
	return value, next, err
}

func (c *Client) readOne(ctx context.Context, key string, query url.Values) (Value, uint64, error) {
	pairs, index, err := c.readPairs(ctx, key, query)
	if err != nil || len(pairs) == 0 {
		return Value{}, index, err
	}
	if pairs[0].Key != key {
		return Value{}, 0, peererr.Wrap(fmt.Errorf("requested key %s, received %s", key, pairs[0].Key), "store read", c.baseURL)
	}
	// The next wait continues from the index of the key, not from that of the service.
	return pairs[0].Value, pairs[0].Index, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pairs, _, err := c.readPairs(ctx, prefix, url.Values{"consistent": {""}, "recurse": {""}})
	return pairs, err
}

// Keys implements Store.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := c.read(ctx, prefix, url.Values{"consistent": {""}, "keys": {""}})
	if err != nil || result.missing {
		return nil, err
	}
	var keys []string
	err = json.Unmarshal(result.body, &keys)
	return keys, peererr.Wrap(err, "store read", c.baseURL)
}

func (c *Client) readPairs(ctx context.Context, key string, query url.Values) ([]Pair, uint64, error) {
	result, err := c.read(ctx, key, query)
	if err != nil || result.missing {
		return nil, result.index, err
	}
	var raw []kvPair
	if err := json.Unmarshal(result.body, &raw); err != nil {
		return nil, 0, peererr.Wrap(err, "store read", c.baseURL)
	}
	pairs := make([]Pair, 0, len(raw))
	for _, p := range raw {
		pairs = append(pairs, Pair{Key: p.Key, Value: Value{Data: p.Value, Index: p.ModifyIndex}})
	}
	return pairs, result.index, nil
}

func (c *Client) read(ctx context.Context, key string, query url.Values) (readResult, error) {
	resp, err := c.do(ctx, http.MethodGet, key, query, nil)
	if err != nil {
		return readResult{}, peererr.Wrap(errors.Join(ErrUnreachable, err), "store read", c.baseURL)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return readResult{}, peererr.Wrap(errors.Join(ErrUnreachable, err), "store read", c.baseURL)
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if resp.StatusCode == http.StatusNotFound {
		return readResult{index: index, missing: true}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return readResult{}, peererr.Wrap(fmt.Errorf("%w: status %d", ErrUnreachable, resp.StatusCode), "store read", c.baseURL)
	}
	return readResult{body: body, index: index}, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	body, err := c.write(ctx, http.MethodPut, key, url.Values{"cas": {strconv.FormatUint(index, 10)}}, data)
	return strings.TrimSpace(body) == "true", err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, nil)
	return err
}

func (c *Client) write(ctx context.Context, method, key string, query url.Values, data []byte) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.do(ctx, method, key, query, data)
	if errors.Is(err, ErrUnreachable) {
		return "", peererr.Wrap(err, "store write", c.baseURL)
	}
	if err != nil {
		return "", peererr.Wrap(errors.Join(ErrOutcomeUnknown, err), "store write", c.baseURL)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes))
	if err != nil || resp.StatusCode >= http.StatusInternalServerError || !httpstatus.IsFinal(resp.StatusCode) {
		return "", peererr.Wrap(errors.Join(ErrOutcomeUnknown, err), "store write", c.baseURL)
	}
	if resp.StatusCode != http.StatusOK {
		return "", peererr.Wrap(fmt.Errorf("status %d: %s", resp.StatusCode, body), "store write", c.baseURL)
	}
	return string(body), nil
}

// do sends one request. The error is ErrUnreachable if no byte was sent.
func (c *Client) do(ctx context.Context, method, key string, query url.Values, data []byte) (*http.Response, error) {
	limit := c.reads
	if method != http.MethodGet {
		limit = c.writes
	}
	if err := limit.wait(ctx); err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+"/v1/kv/"+key+"?"+query.Encode(), bytes.NewReader(data))
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	// Without GetBody the transport cannot resend a write by itself.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, errors.Join(ErrUnreachable, err)
	}
	return resp, err
}
