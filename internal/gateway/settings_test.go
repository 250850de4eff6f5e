package gateway_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/gateway"
)

// TestReload checks that a reload applies changed settings except fixed fields, and that a failed one changes nothing.
func TestReload(t *testing.T) {
	c := qt.New(t)
	live := gateway.NewLiveSettings(&gateway.Settings{VM: "a", CallerListen: "10.0.0.1:1", Grace: time.Second})
	load := func(s *gateway.Settings, err error) func() (*gateway.Settings, error) {
		return func() (*gateway.Settings, error) { return s, err }
	}
	live.Reload(load(nil, errors.New("broken")), zerolog.Nop())
	c.Check(live.Get().Grace, qt.Equals, time.Second)
	live.Reload(load(&gateway.Settings{VM: "a", CallerListen: "10.0.0.1:2", Grace: 3 * time.Second}, nil), zerolog.Nop())
	c.Check(live.Get().Grace, qt.Equals, 3*time.Second)
	c.Check(live.Get().CallerListen, qt.Equals, "10.0.0.1:1")
}
