package tracing_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/tracing"
)

const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// TestSpansContinueCallerTrace checks that spans have the caller's trace id, also at a sample fraction of 0 because the caller
// has set the sampled flag, and that the backend server receives that trace with the id of the attempt's span.
func TestSpansContinueCallerTrace(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "spans")
	stop, err := tracing.SetUp("primrose-entry", "entry-1", tracing.Settings{File: file})
	c.Assert(err, qt.IsNil)
	ctx := tracing.Extract(context.Background(), http.Header{"Traceparent": {callerTraceparent}})
	ctx, outer := tracing.Start(ctx, "caller request")
	inner, attempt := tracing.Start(ctx, "backend server attempt")
	out := http.Header{"Traceparent": {callerTraceparent}}
	tracing.Inject(inner, out)
	attempt.End("shed")
	outer.End("")
	c.Assert(stop(context.Background()), qt.IsNil)

	propagated := out.Get("Traceparent")
	c.Assert(strings.Contains(propagated, "0af7651916cd43dd8448eb211c80319c"), qt.IsTrue)
	c.Assert(propagated, qt.Not(qt.Equals), callerTraceparent)
	spans, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(spans), `"TraceID":"0af7651916cd43dd8448eb211c80319c"`) >= 2, qt.IsTrue)
}

// TestDisabledTracingDoesNotAllocate checks that requests cost no allocation while tracing is disabled, and that the caller's
// trace context is passed on unchanged.
func TestDisabledTracingDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	h := http.Header{"Traceparent": {callerTraceparent}}
	allocations := testing.AllocsPerRun(100, func() {
		ctx, span := tracing.Start(tracing.Extract(context.Background(), h), "caller request")
		span.Set("service", "deposits")
		tracing.Inject(ctx, h)
		span.End("")
	})
	c.Assert(allocations, qt.Equals, 0.0)
	c.Assert(h.Get("Traceparent"), qt.Equals, callerTraceparent)
}
