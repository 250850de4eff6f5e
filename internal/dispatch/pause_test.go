package dispatch

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReadPause guards against a Retry-After that is ignored, or that keeps a backend server out for longer than it means.
func TestReadPause(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	tests := []struct {
		status int
		named  string
		want   time.Duration
	}{
		{503, "2", 2 * time.Second},
		{503, " 0.25 ", 250 * time.Millisecond},
		{503, "Fri, 04 Dec 2026 12:00:07 GMT", 7 * time.Second},
		{503, "Fri, 04 Dec 2026 11:00:00 GMT", 0},
		{503, "1e300", maxPause},
		{503, "Inf", maxPause},
		{503, "NaN", 0},
		{503, "-1", 0},
		{503, "0", 0},
		{503, "soon", 0},
		{503, "", 0},
		{429, "2", 0},
		{500, "2", 0},
	}
	for _, test := range tests {
		header := http.Header{"Retry-After": {test.named}}
		qt.Check(t, readPause(test.status, header, now), qt.Equals, test.want, qt.Commentf("%d %q", test.status, test.named))
	}
}
