package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdRace applies several folders or files at the same moment, each on top of the last accepted revision:
// "race PATH PATH...". It prints how each ended, and fails unless exactly one was accepted and the others conflict.
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
		return fmt.Errorf("of %d edits %d were accepted and %d were conflicts", len(args), accepted, conflicts)
	}
	return nil
}

// exitConflict is the exit code of primrosectl for a conflict.
const exitConflict = 3

// revisionSampleInterval is the time between two looks at the revisions of the entries.
const revisionSampleInterval = 20 * time.Millisecond

// revisionMonitor looks at the revisions that entries use, and notes each that goes back.
type revisionMonitor struct {
	mu         sync.Mutex
	inForce    uint64
	violations []string
	once       sync.Once
	stop       chan struct{}
	done       chan struct{}
}

// finish ends the watch.
func (w *revisionMonitor) finish() {
	if w == nil {
		return
	}
	w.once.Do(func() { close(w.stop) })
	<-w.done
}

// cmdRevisions begins and ends a watch over the revisions of all entries: "revisions watch", "revisions never-back".
// While it runs no entry may use a revision below one that was in force everywhere, also not after a restart.
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
		return errors.New("no watch runs")
	}
	f.revisionMonitor.finish()
	if len(f.revisionMonitor.violations) > 0 {
		return fmt.Errorf("%d looks found an older revision: %s", len(f.revisionMonitor.violations), f.revisionMonitor.violations[0])
	}
	return nil
}

// entryStatusURLs returns the status pages of the entries by their names.
func (f *Fleet) entryStatusURLs() map[string]string {
	urls := map[string]string{}
	for _, vm := range f.entryVMs() {
		urls[vm.Name] = f.processes[vm.Name+entrySuffix].statusURL
	}
	return urls
}

// setInForce notes that a revision is in force on all running processes.
func (w *revisionMonitor) setInForce(revision uint64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inForce = max(w.inForce, revision)
}

func (w *revisionMonitor) run(urls map[string]string) {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(revisionSampleInterval):
		}
		for name, url := range urls {
			w.checkEntry(name, url)
		}
	}
}

// checkEntry compares one entry. One that does not answer, or has no catalogue yet, serves nothing.
func (w *revisionMonitor) checkEntry(name, url string) {
	w.mu.Lock()
	inForce := w.inForce
	w.mu.Unlock()
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%s uses revision %d, %d was in force everywhere", name, status.Revision, inForce))
}
