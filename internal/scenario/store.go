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

// Default values of the faults of the store, for commands that give no value.
const (
	defaultStoreDelay = 500 * time.Millisecond
	defaultStoreLag   = 2 * time.Second
)

var errStoreUsage = errors.New("usage: store down|slow|lose-answer|lose-next|late|lagging|lag-all|ok [VALUE], or store backup|restore")

// cmdStore sets the fault of the key-value service, takes a backup of its content, or restores the backup.
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
		return fmt.Errorf("unknown store fault %q: %w", args[0], errStoreUsage)
	}
	return f.platform.setStoreFault(fault)
}

// loseNextWrites makes the next writes, one unless a count is given, take effect without an answer: "store lose-next
// [COUNT]".
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

// expectStoreHolds waits until the store contains the change that made a revision: "expect store-holds 3".
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
