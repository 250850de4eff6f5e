package story_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/story"
)

const logs = `
  10.1 vm-a {"level":"warn","vm":"a","event":1506,"message":"unhealthy","service":"s","server":"i-1","time":"2026-01-01T00:00:08.000Z"}
  10.1 vm-a {"level":"warn","vm":"a","event":1506,"message":"unhealthy","service":"t","server":"i-9","time":"2026-01-01T00:00:08.000Z"}
{"level":"warn","vm":"a","event":1301,"message":"store unreachable","time":"2026-01-01T00:00:01.000Z"}
{"level":"warn","vm":"a","event":1301,"message":"store unreachable","time":"2026-01-01T00:00:09.000Z"}
{"level":"warn","vm":"b","event":1301,"message":"store unreachable","time":"2026-01-01T00:00:09.000Z"}
not a log line
{"broken
{"level":"warn","vm":"a","event":1602,"message":"failed","request":"7","service":"s","server":"i-1","took_ms":1000,"time":"2026-01-01T00:00:10.500Z"}
{"level":"info","vm":"a","event":1605,"message":"tried","request":"7","service":"s","server":"i-2","time":"2026-01-01T00:00:09.800Z"}
{"level":"info","vm":"a","event":1603,"message":"answered","request":"8","service":"s","time":"2026-01-01T00:00:10.000Z"}
`

// TestSelect checks that Select returns the lines with the id of a request, and lines without a request id on its service, VM
// and time. Lines on another service, VM or request, or from too long before, are left out. Read ignores broken lines and
// lines that are not JSON.
func TestSelect(t *testing.T) {
	c := qt.New(t)
	lines, err := story.Read(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 8)
	var out strings.Builder
	c.Assert(story.Write(&out, story.Select(lines, "7")), qt.IsNil)
	c.Check(out.String(), qt.Equals, `00:00:08.000 a [1506] unhealthy service=s server=i-1
00:00:09.000 a [1301] store unreachable
00:00:09.800 a [1605] tried service=s server=i-2 request=7
00:00:10.500 a [1602] failed service=s server=i-1 request=7 took_ms=1000
`)
	c.Check(story.Select(lines, "9"), qt.HasLen, 0)
}
