package room_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/room"
)

// TestRefusalWeight checks that a refusal is full evidence where it is rare, and none where half of all requests are refused.
func TestRefusalWeight(t *testing.T) {
	qt.Check(t, room.RefusalWeight(0), qt.Equals, 1.0)
	qt.Check(t, room.RefusalWeight(0.25), qt.Equals, 1.0)
	qt.Check(t, room.RefusalWeight(0.375), qt.Equals, 0.5)
	qt.Check(t, room.RefusalWeight(0.5), qt.Equals, 0.0)
	qt.Check(t, room.RefusalWeight(0.9), qt.Equals, 0.0)
}
