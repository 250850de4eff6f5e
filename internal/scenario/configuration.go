package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdRace applies several folders or files concurrently, each based on the last accepted revision: "race PATH PATH...". It
// prints the result of each, and fails unless exactly one was accepted and all others were rejected as conflicts.
func cmdRace(f *Fleet, ts *testscript.TestScript, args []string) error {
	outputs := make([]string, len(args))
	errs := make([]error, len(args))
	var wg sync.WaitGroup
	for i, path := range args {
		path = ts.MkAbs(path)
		wg.Go(func() {
			outputs[i], errs[i] = f.ctlOutput("apply", "--base-revision", fmt.Sprint(f.revision), path)
		})
	}
	wg.Wait()
	accepted, conflicts := 0, 0
	for i, output := range outputs {
		fmt.Fprint(ts.Stdout(), output)
		var exit interface{ ExitCode() int }
		switch {
		case errs[i] == nil:
			accepted++
			f.recordAcceptedRevision(output)
		case errors.As(errs[i], &exit) && exit.ExitCode() == exitConflict:
			conflicts++
		}
	}
	fmt.Fprintf(ts.Stdout(), "accepted %d, conflicts %d\n", accepted, conflicts)
	if accepted != 1 || conflicts != len(args)-1 {
		return fmt.Errorf("of %d concurrent changes %d were accepted and %d conflicted, expected 1 accepted",
			len(args), accepted, conflicts)
	}
	return nil
}

// exitConflict is the exit code of primrosectl if the base revision is out of date.
const exitConflict = 3

// revisionSampleInterval is the time between two samples of the revisions that entries use.
const revisionSampleInterval = 20 * time.Millisecond

// revisionMonitor samples the revisions that entries use, and records a violation for each one that is older than inForce.
type revisionMonitor struct {
	mu sync.Mutex
	// inForce is the newest revision that has been in force everywhere.
	inForce    uint64
	violations []string
	once       sync.Once
	stop       chan struct{}
	done       chan struct{}
}

// finish stops the monitor and waits for its goroutine. It may be called more than once, and on nil.
func (m *revisionMonitor) finish() {
	if m == nil {
		return
	}
	m.once.Do(func() { close(m.stop) })
	<-m.done
}

// cmdRevisions starts the revision monitor ("revisions watch") or stops it and checks its findings ("revisions
// never-back"). While the monitor runs, no entry may use an older revision than one that was in force everywhere,
// even after a restart.
func cmdRevisions(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 || (args[0] != "watch" && args[0] != "never-back") {
		return errors.New("usage: revisions watch|never-back")
	}
	if args[0] == "watch" {
		f.revisionMonitor = &revisionMonitor{stop: make(chan struct{}), done: make(chan struct{}), inForce: f.revision}
		go f.revisionMonitor.run(f.entryStatusURLs())
		return nil
	}
	if f.revisionMonitor == nil {
		return errors.New("revisions never-back: \"revisions watch\" was not run")
	}
	f.revisionMonitor.finish()
	if len(f.revisionMonitor.violations) > 0 {
		return fmt.Errorf("%d samples found an entry with an older revision, first: %s",
			len(f.revisionMonitor.violations), f.revisionMonitor.violations[0])
	}
	return nil
}

// entryStatusURLs returns the URLs of the entries' status pages by VM name.
func (f *Fleet) entryStatusURLs() map[string]string {
	urls := map[string]string{}
	for _, vm := range f.entryVMs() {
		urls[vm.Name] = f.processes[vm.Name+entrySuffix].statusURL
	}
	return urls
}

// setInForce records that all running processes use a revision. It may be called on nil.
func (m *revisionMonitor) setInForce(revision uint64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inForce = max(m.inForce, revision)
}

func (m *revisionMonitor) run(urls map[string]string) {
	defer close(m.done)
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(revisionSampleInterval):
		}
		for name, url := range urls {
			m.checkEntry(name, url)
		}
	}
}

// checkEntry samples one entry. An entry that does not answer or has no catalogue yet (revision 0) serves no requests, and
// is skipped.
func (m *revisionMonitor) checkEntry(name, url string) {
	m.mu.Lock()
	inForce := m.inForce
	m.mu.Unlock()
	body, err := get(url)
	if err != nil {
		return
	}
	var status struct {
		Revision uint64 `json:"revision"`
	}
	if json.Unmarshal(body, &status) != nil || status.Revision == 0 || status.Revision >= inForce {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf("%s uses revision %d after revision %d was in force everywhere",
		name, status.Revision, inForce))
}
