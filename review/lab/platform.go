package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/platform/standin"
	"github.com/primroseladder/primroseladder/platform/wire"
)

// storeService is the platform's store at a loopback address.
type storeService struct {
	*kvtest.Store
	listener net.Listener
	server   *http.Server
}

func newStoreService() (*storeService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeService{Store: kvtest.New(), listener: listener}
	handler := standin.NewStoreHandler(pagedClient{s.Client()})
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&pageWriter{ResponseWriter: w}, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *storeService) address() string { return s.listener.Addr().String() }

// maxPageBytes is the size of the values of a page, of which the users' pages say that it is about 1 MB.
const maxPageBytes = 1_000_000

// pagedClient limits the pages of a range by their size.
type pagedClient struct{ *kvtest.Client }

// Range implements kv.Store.
func (c pagedClient) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	page, err := c.Client.Range(ctx, prefix, after)
	size := 0
	for n, i := range page.Items {
		if size += len(i.Value); n > 0 && size > maxPageBytes {
			page.Items, page.More = page.Items[:n], true
			break
		}
	}
	return page, err
}

// RangeStale implements kv.Store. It returns current data.
func (c pagedClient) RangeStale(ctx context.Context, prefix, after string) (kv.Page, error) {
	return c.Range(ctx, prefix, after)
}

// pageWriter leaves out the header of the stand-in that the users' pages in force do not name.
type pageWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *pageWriter) WriteHeader(status int) {
	w.Header().Del(wire.EraHeader)
	w.ResponseWriter.WriteHeader(status)
}

// reserveBlock returns the first free block of loopback addresses, 127.B.0.0/16. It is reserved until the listener is closed.
func reserveBlock() (block int, listener net.Listener, err error) {
	const firstBlock, lastBlock = 40, 99
	for block = firstBlock; block <= lastBlock; block++ {
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, readyPort)); err == nil {
			return block, listener, nil
		}
	}
	return 0, nil, err
}
