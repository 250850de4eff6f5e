package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// controlTimeout is the timeout of one control request or status request.
	controlTimeout = 2 * time.Second
	// defaultTimeout is how long "expect" waits for a condition without "within".
	defaultTimeout = 5 * time.Second
)

// get returns the body of a status page or control page. A status other than 200 is an error.
func get(url string) ([]byte, error) { return controlCall(http.MethodGet, url, "") }

// put sends a control request to a test double (package standin).
func put(url, body string) error {
	_, err := controlCall(http.MethodPut, url, body)
	return err
}

// controlClient does not reuse connections, so that no connection to a frozen or replaced process stays in a pool.
var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func controlCall(method, url, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return content, nil
}
