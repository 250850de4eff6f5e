package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/child"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

// stopBound is how long a planned stop may take.
const stopBound = 30 * time.Second

// process is one program of the fleet.
type process struct {
	child.Process
	// readyURL answers with status 200 once the process serves.
	readyURL string
	// statusURL is the operators' status page, or empty.
	statusURL string
}

// awaitReady waits until the process serves.
func (p *process) awaitReady(bound time.Duration) error {
	return periodic.Poll(bound, func() error {
		select {
		case <-p.Ended():
			return periodic.Permanent(fmt.Errorf("%s ended: %s", p.Name, p.ExitState()))
		default:
		}
		_, err := get(p.readyURL)
		return err
	})
}

// stop asks for a planned stop and waits for its end.
func (p *process) stop() error {
	if err := p.Stop(stopBound); err != nil {
		return err
	}
	if code := p.ExitState().ExitCode(); code != 0 {
		return fmt.Errorf("%s ended its planned stop with code %d", p.Name, code)
	}
	return nil
}

// logTailBytes is how much of a log is shown when a scenario fails.
const logTailBytes = 4000

// logTail returns the end of the log.
func (p *process) logTail() string {
	content, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-logTailBytes):])
}

// fileName returns the name of a process as a part of file names.
func fileName(process string) string { return strings.ReplaceAll(process, "/", "-") }

func logPath(dir, name string) string { return filepath.Join(dir, fileName(name)+".log") }

// freeze stops the process without its knowledge.
func (p *process) freeze() error { return p.Signal(syscall.SIGSTOP) }

// thaw lets a frozen process go on.
func (p *process) thaw() error { return p.Signal(syscall.SIGCONT) }
