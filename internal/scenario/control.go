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
	// controlTimeout bounds one control call.
	controlTimeout = 2 * time.Second
	// defaultTimeout is how long a condition is waited for.
	defaultTimeout = 5 * time.Second
)

// get returns the body of a page.
func get(url string) ([]byte, error) { return controlCall(http.MethodGet, url, "") }

// put sends a control command to a stand-in.
func put(url, body string) error {
	_, err := controlCall(http.MethodPut, url, body)
	return err
}

// controlClient keeps no connections, so that processes which are frozen or replaced leave none behind.
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
