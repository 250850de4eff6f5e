// Package listentest finds addresses for tests of programs that are told where to listen.
package listentest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// processIP is a loopback address of this process alone, from which no program opens connections: these would take ports that are free
// for a moment.
var processIP = fmt.Sprintf("127.201.%d.%d", os.Getpid()>>7&0xff, 1+os.Getpid()&0x7f)

// given holds the addresses that FreeAddress has returned.
var given sync.Map

// FreeAddress returns a loopback address at which nothing listens, and which it has not returned before.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", processIP+":0")
		if err != nil {
			t.Fatalf("no free port at %s: %v", processIP, err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, isGiven := given.LoadOrStore(address, true); !isGiven {
			return address
		}
	}
}
