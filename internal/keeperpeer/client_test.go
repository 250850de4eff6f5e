package keeperpeer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRetainDropsReplacedKeepers checks that connections do not accumulate while VMs are replaced.
func TestRetainDropsReplacedKeepers(t *testing.T) {
	c := NewClient()
	defer c.Close()
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		_, err := c.Keeper(address)
		qt.Assert(t, err, qt.IsNil)
	}
	c.Retain(map[string]bool{"127.0.0.1:2": true, "127.0.0.1:4": true})
	qt.Check(t, c.ConnectionCount(), qt.Equals, 1)
}
