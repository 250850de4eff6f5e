package gateway

import (
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/freshness"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/organisation"
	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/internal/vmpeer"
)

// liveFields are the settings that a reload changes at once, wherever they are used.
var liveFields = []string{"Grace", "MaxAnswerTTL", "RetrySlack", "RevocationBound"}

// TestEverySettingIsAppliedOrNamed guards against settings that a reload reports as in force and that the running process does not
// follow: each field either takes effect at once, or the reload names it as waiting for a restart.
func TestEverySettingIsAppliedOrNamed(t *testing.T) {
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		isLive, isFixed := slices.Contains(liveFields, field.Name), slices.Contains(fixedFields, field.Name)
		qt.Check(t, isLive != isFixed, qt.IsTrue, qt.Commentf("%s: live %t, fixed %t", field.Name, isLive, isFixed))
	}
}

// TestReloadedRevocationBoundIsKept guards against keys that are served after they were taken away, by a bound that the settings file
// has lowered while the VM ran (CONFIG).
func TestReloadedRevocationBoundIsKept(t *testing.T) {
	c := qt.New(t)
	directory, err := organisation.NewDirectory([]organisation.Organisation{{Name: "o", Keys: []organisation.Digest{organisation.DigestOf("k")}}})
	c.Assert(err, qt.IsNil)
	live := NewLiveSettings(&Settings{VM: "a", RevocationBound: 5 * time.Second})
	state := NewState(nil, nil, nil, nil, membership.Member{}, nil, zerolog.Nop())
	state.table.Store(route.NewTable(&route.Config{Version: 1, Organisations: directory}, nil))
	k := newKeyProofs(live, state, mirror.NewCopy(nil, nil), nil, vmpeer.New(nil, nil, nil, zerolog.Nop()), zerolog.Nop())
	k.tracker.RecordRead(1, freshness.BootClock()-4*time.Second)
	c.Check(k.KeyState(1).MayServe, qt.IsTrue)
	live.Reload(func() (*Settings, error) { return &Settings{VM: "a", RevocationBound: 3 * time.Second}, nil }, zerolog.Nop())
	c.Check(k.KeyState(1).MayServe, qt.IsFalse)
	c.Check(k.IsUnproven(), qt.IsTrue)
	// The store may hold a watch for an eighth of the bound.
	c.Check(watchWait(live)(), qt.Equals, 375*time.Millisecond)
}
