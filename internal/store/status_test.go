package store_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/store"
)

// TestWriteWithoutAValidStatusMayHaveHappened checks that a response whose status HTTP does not allow leaves the outcome of a write
// open.
func TestWriteWithoutAValidStatusMayHaveHappened(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if conn, buffered, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = buffered.WriteString("HTTP/1.1 000 What\r\nContent-Length: 0\r\n\r\n")
			_ = buffered.Flush()
			_ = conn.Close()
		}
	}))
	defer server.Close()
	_, err := store.NewClient(server.URL).CompareAndSwap(context.Background(), "k", nil, 0)
	qt.Check(t, errors.Is(err, store.ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
}
