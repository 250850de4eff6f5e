package freshness

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment on this VM. It never goes back and never stands still.
type Clock func() time.Duration

// BootClock is a Clock that goes on while the VM is suspended, in which time.Now stands still, and that does not follow changes of
// the time of day.
func BootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// All kernels that the process can run on have this clock. Without it no proof could be trusted.
		panic(fmt.Sprintf("read the clock since boot: %v", err))
	}
	return time.Duration(now.Nano())
}
