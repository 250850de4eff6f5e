package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of the processor times in /proc, hundredths of a second on Linux.
const clockTick = 10 * time.Millisecond

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The program name, which may hold spaces, ends at the last parenthesis. User and system time are the 12th and 13th
	// fields after it.
	fields := bytes.Fields(content[bytes.LastIndexByte(content, ')')+1:])
	var total time.Duration
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(string(field), 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}
