// Package vmlist reads the platform's list of live and leaving VMs. The list lags behind the actual state of the VMs. If
// it cannot be read, the last list stays in use.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

// List is the body of the platform's response.
type List struct {
	Index uint64     `json:"index"`
	VMs   []fleet.VM `json:"vms"`
}

// maxListBytes limits the platform's response. At 120,000 backend servers it has about 25 MB.
const maxListBytes = 64 << 20

// Client reads the list over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the list at the base URL.
func NewClient(baseURL string) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &http.Client{}}
}

// Wait is a long poll: it returns the list as soon as its index is above index, or the unchanged list after timeout.
func (c *Client) Wait(ctx context.Context, index uint64, timeout time.Duration) (*List, error) {
	target := fmt.Sprintf("%s/v1/vms?index=%d&wait=%s", c.baseURL, index, timeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, peererr.Wrap(err, "read VM list", c.baseURL)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, peererr.Wrap(err, "read VM list", c.baseURL)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, peererr.Wrap(fmt.Errorf("status %d", resp.StatusCode), "read VM list", c.baseURL)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, peererr.Wrap(err, "read VM list", c.baseURL)
	}
	return &list, nil
}
