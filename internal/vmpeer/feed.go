package vmpeer

import (
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

const (
	changesPath = "/v1/changes"
	// headerTimeout limits the time until a VM begins to send changes, which takes a few milliseconds. It shows soon that
	// the path to the VM is cut.
	headerTimeout = 400 * time.Millisecond
	// fetchTimeout limits the fetch of large changes or of a full copy: a megabyte, from a VM that serves it to others at
	// the same time.
	fetchTimeout = 2 * time.Second
	// maxCopyBytes limits the changes or the full copy that is fetched, after decompression.
	maxCopyBytes = 64 << 20
	// maxHeaderBytes limits the header of the response.
	maxHeaderBytes = 16 << 10
)

// FeedHandler returns the handler that serves the changes of a copy of the store. The full copy and large changes are
// compressed, to a tenth of their size. A request without a valid position gets 400, and one for them while the feed is
// busy gets 503.
func FeedHandler(f *mirror.Feed) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(changesPath, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		revision, err := strconv.ParseUint(query.Get("after"), 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
			return
		}
		era, err := strconv.ParseUint(cmp.Or(query.Get("era"), "0"), 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("era: %v", err), http.StatusBadRequest)
			return
		}
		after := kv.Position{Era: era, Revision: revision}
		err = f.Serve(after, func(c mirror.Changes) error {
			w.Header().Set("Content-Type", "application/json")
			if c.IsLarge(after) {
				return writeCompressed(w, c)
			}
			return json.NewEncoder(w).Encode(c)
		})
		// Any other error is a failed write of the response, which the VM that requested it notices itself.
		if errors.Is(err, mirror.ErrBusy) {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return r
}

// writeCompressed writes changes with gzip, which http.Transport requests and decodes by default.
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

// Fetcher fetches changes of the store from the feeds of other VMs. It implements mirror.Fetcher.
type Fetcher struct{ http *http.Client }

// NewFetcher returns a Fetcher that opens a connection for each fetch.
func NewFetcher() *Fetcher {
	dialer := &net.Dialer{Timeout: headerTimeout}
	return &Fetcher{http: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: dialer.DialContext, ResponseHeaderTimeout: headerTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// Fetch implements mirror.Fetcher. After revision 0, or if the other VM's copy is of another era, it fetches the full copy.
func (f *Fetcher) Fetch(ctx context.Context, address string, after kv.Position) (mirror.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	changes, err := f.fetch(ctx, address, after)
	return changes, peererr.Wrap(err, "fetch changes", address)
}

func (f *Fetcher) fetch(ctx context.Context, address string, after kv.Position) (out mirror.Changes, err error) {
	query := url.Values{"after": {strconv.FormatUint(after.Revision, 10)}, "era": {strconv.FormatUint(after.Era, 10)}}
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
		return out, fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	body := &io.LimitedReader{R: resp.Body, N: maxCopyBytes}
	err = json.NewDecoder(body).Decode(&out)
	if body.N <= 0 {
		return mirror.Changes{}, fmt.Errorf("the changes exceed %d bytes", maxCopyBytes)
	}
	return out, err
}
