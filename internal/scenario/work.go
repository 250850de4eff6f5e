package scenario

import (
	"errors"
	"fmt"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
)

// expectWork waits until each backend server begins to run a new request: "expect work NAME...".
func (f *Fleet) expectWork(args []string, timeout time.Duration) error {
	begin := time.Now()
	for _, name := range args {
		err := periodic.Poll(timeout, func() error {
			last, err := f.lastRun(name)
			if err != nil {
				return periodic.Permanent(err)
			}
			if !last.After(begin) {
				return fmt.Errorf("%s has not begun to run a new request", name)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// expectNoWork waits until each backend server has not begun to run a request for a duration: "expect no-work NAME... for
// DURATION". The duration starts with the command.
func (f *Fleet) expectNoWork(args []string, timeout time.Duration) error {
	if len(args) < 3 || args[len(args)-2] != "for" {
		return errors.New("usage: expect no-work NAME... for DURATION")
	}
	span, err := time.ParseDuration(args[len(args)-1])
	if err != nil {
		return err
	}
	begin := time.Now()
	for _, name := range args[:len(args)-2] {
		err := periodic.Poll(timeout, func() error {
			last, err := f.lastRun(name)
			if err != nil {
				return periodic.Permanent(err)
			}
			if last.Before(begin) {
				last = begin
			}
			if idle := time.Since(last); idle < span {
				return fmt.Errorf("%s began to run a request %s ago", name, idle)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// expectNoNewWork checks that a backend server began to run no request later than a duration after the last command that
// changed it: "expect no-new-work NAME after 3s watch 2s". The journal is read once the watch time is over. The commands
// that count are vm, backend, freeze, thaw, kill and stop.
func (f *Fleet) expectNoNewWork(args []string, _ time.Duration) error {
	if len(args) != 5 || args[1] != "after" || args[3] != "watch" {
		return errors.New("usage: expect no-new-work NAME after DURATION watch DURATION")
	}
	lastCommand, found := f.commandTimes[args[0]]
	if !found {
		return fmt.Errorf("no command has changed %s yet", args[0])
	}
	after, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	watch, err := time.ParseDuration(args[4])
	if err != nil {
		return err
	}
	time.Sleep(time.Until(lastCommand.Add(after + watch)))
	journal, err := f.journal(args[0])
	if err != nil {
		return err
	}
	for _, r := range journal {
		if late := r.At.Sub(lastCommand); late > after {
			return fmt.Errorf("%s began to run a request %s after the command", args[0], late)
		}
	}
	return nil
}

// lastRun returns when a backend server last began to run a request, or the zero time.
func (f *Fleet) lastRun(name string) (time.Time, error) {
	journal, err := f.journal(name)
	if err != nil || len(journal) == 0 {
		return time.Time{}, err
	}
	return journal[len(journal)-1].At, nil
}

// expectRuns checks how often requests with an idempotency key or load ID ran, or how many requests a backend server began
// to run: "expect runs KEY|NAME =1".
func (f *Fleet) expectRuns(args []string, _ time.Duration) error {
	if len(args) != 2 {
		return errors.New("usage: expect runs KEY|NAME =NUMBER")
	}
	runs, err := f.runs()
	if err != nil {
		return err
	}
	total := 0
	for _, r := range runs {
		total += r.ByID[args[0]]
		if r.Name == args[0] {
			total += r.Total
		}
	}
	return checkUnnamed(args[1:], "runs", float64(total))
}
