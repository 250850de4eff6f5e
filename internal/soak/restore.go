package soak

import (
	"math/rand/v2"
	"time"

	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/platform/standin"
)

const (
	// restoreSeed separates the draws of restored stores from those of faults, so that seeds that failed once keep their faults.
	restoreSeed = 0xe7a
	// meanRestoreInterval is the mean time between the return of the store and its next backup.
	meanRestoreInterval = 4 * time.Second
	// maxRewriteDelay is how long after the store's return the operator and backend servers write again what it has lost.
	maxRewriteDelay = 1500 * time.Millisecond
)

// restoreStores lets the store come back from older copies of itself until the given time.
func (d *deployment) restoreStores(draw *rand.Rand, end time.Time) {
	for {
		time.Sleep(time.Duration(draw.ExpFloat64() * float64(meanRestoreInterval)))
		backup, age := d.store.Backup(), drawDuration(draw)
		if time.Now().Add(age).After(end) {
			return
		}
		time.Sleep(age)
		d.restoreStore(backup, age, draw)
	}
}

// restoreStore takes the store away, replaces it by a copy and lets the operator and the backend servers write again what it
// has lost.
func (d *deployment) restoreStore(backup *kvtest.Backup, age time.Duration, draw *rand.Rand) {
	d.options.Logf("the store comes back from a copy that is %v old", age)
	for _, v := range d.vms {
		defer v.storeDisturbances.begin(false)()
		v.store.SetDown(true)
	}
	time.Sleep(time.Duration(draw.Float64() * float64(2*time.Second)))
	lost := d.store.Restore(backup)
	for _, v := range d.vms {
		v.store.SetDown(false)
	}
	time.Sleep(time.Duration(draw.Float64() * float64(maxRewriteDelay)))
	d.store.Rewrite(lost, standin.IsOwnedByOthers)
}
