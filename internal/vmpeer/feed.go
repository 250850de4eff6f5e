package vmpeer

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

const (
	changesPath = "/v1/changes"
	// fetchTimeout bounds the fetch of changes from a VM of the same zone, which takes a few milliseconds.
	fetchTimeout = 400 * time.Millisecond
	// firstFetchTimeout bounds the fetch of a whole copy: a megabyte, from a VM that gives it to others too.
	firstFetchTimeout = 2 * time.Second
)

// FeedHandler gives out the changes of a copy of the store. The whole copy is compressed: it takes a tenth of the bytes.
func FeedHandler(g *mirror.Feed) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(changesPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
			return
		}
		err = g.Serve(after, func(c mirror.Changes) error {
			w.Header().Set("Content-Type", "application/json")
			if after == 0 {
				return writeCompressed(w, c)
			}
			return json.NewEncoder(w).Encode(c)
		})
		// Any other error is one of writing, which shows at the VM that asked.
		if errors.Is(err, mirror.ErrBusy) {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return r
}

// writeCompressed writes changes for http.Transport, which asks for gzip by itself.
func writeCompressed(w http.ResponseWriter, c mirror.Changes) error {
	w.Header().Set("Content-Encoding", "gzip")
	compressor, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(compressor).Encode(c); err != nil {
		return err
	}
	return compressor.Close()
}

// Fetcher takes changes from other VMs.
type Fetcher struct{ http *http.Client }

// NewFetcher returns a fetcher without connections.
func NewFetcher() *Fetcher {
	return &Fetcher{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Fetch implements mirror.Fetcher.
func (f *Fetcher) Fetch(ctx context.Context, address string, after uint64) (mirror.Changes, error) {
	timeout := fetchTimeout
	if after == 0 {
		timeout = firstFetchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	changes, err := f.fetch(ctx, address, after)
	return changes, peererr.Wrap(err, "fetch changes", address)
}

func (f *Fetcher) fetch(ctx context.Context, address string, after uint64) (out mirror.Changes, err error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	target := url.URL{Scheme: "http", Host: address, Path: changesPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return out, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return out, mirror.ErrBusy
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("status %d", resp.StatusCode)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
