package backendserver

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

// JournalRun is the execution of one request, as recorded in a journal.
type JournalRun struct {
	// At is when the run began.
	At time.Time
	// ID is the idempotency key of the request, or its LoadIDHeader, or empty if it has neither.
	ID string
}

// writeRun appends a run to the journal as a line of the time in Unix microseconds and the ID. It uses a single write, so
// that a crash cannot leave an incomplete line followed by others.
func (s Settings) writeRun(at time.Time, id string) {
	if s.Journal != nil {
		_, _ = fmt.Fprintf(s.Journal, "%d %s\n", at.UnixMicro(), id)
	}
}

// ReadJournal returns the runs of a journal. It skips an incomplete last line, which may still be in the process of being
// written.
func ReadJournal(r io.Reader) ([]JournalRun, error) {
	var runs []JournalRun
	reader := bufio.NewReader(r)
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			return runs, nil
		}
		if err != nil {
			return nil, err
		}
		var micros int64
		stamp, id, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if _, err := fmt.Sscan(stamp, &micros); err != nil {
			return nil, fmt.Errorf("parse journal line %q: %w", line, err)
		}
		runs = append(runs, JournalRun{At: time.UnixMicro(micros), ID: id})
	}
}
