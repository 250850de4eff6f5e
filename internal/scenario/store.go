package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/standin/kv"
)

const (
	defaultStoreDelay = 500 * time.Millisecond
	defaultStoreLag   = 2 * time.Second
)

var errStoreUsage = errors.New("usage: store down|slow|lose-answer|lose-next|late|lagging|lag-all|ok [VALUE], or store backup|restore")

// cmdStore makes the key-value service fail, or goes back to a backup.
func cmdStore(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return errStoreUsage
	}
	switch args[0] {
	case "backup", "restore":
		return put("http://"+f.platform.address+"/control/kv/"+args[0], "")
	case "lose-next":
		return f.loseNextWrites(args[1:])
	}
	delay, lag := defaultStoreDelay, defaultStoreLag
	if len(args) == 2 {
		given, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		delay, lag = given, given
	}
	fault, found := map[string]kv.Fault{
		"down":        {Down: true},
		"slow":        {DelayMS: int(delay.Milliseconds())},
		"lose-answer": {LoseAnswers: true},
		"late":        {LateMS: int(lag.Milliseconds())},
		"lagging":     {LagMS: int(lag.Milliseconds())},
		"lag-all":     {LagMS: int(lag.Milliseconds()), LagAll: true},
		"ok":          {},
	}[args[0]]
	if !found {
		return fmt.Errorf("the store has no fault %q: %w", args[0], errStoreUsage)
	}
	return f.platform.setStoreFault(fault)
}

// loseNextWrites loses the answers to so many next writes.
func (f *Fleet) loseNextWrites(args []string) error {
	count := 1
	if len(args) > 0 {
		given, err := strconv.Atoi(args[0])
		if err != nil {
			return err
		}
		count = given
	}
	return f.platform.setStoreFault(kv.Fault{LoseNext: count})
}

// expectStoreHolds waits until the store has the change of a revision: "expect store-holds 3".
func (f *Fleet) expectStoreHolds(args []string, timeout time.Duration) error {
	if len(args) != 1 {
		return errors.New("usage: expect store-holds REVISION")
	}
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	return periodic.Poll(timeout, func() error {
		_, err := get(fmt.Sprintf("http://%s/v1/kv/primrose/changes/%020d", f.platform.address, revision))
		return err
	})
}
