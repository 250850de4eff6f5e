package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/placement"
)

const (
	// registrationPrefix is the prefix of all registration keys in the store.
	registrationPrefix = "primrose/vms/"
	// registrationLease is how long a registration outlives its VM. Heartbeats reveal a loss sooner in the local zone,
	// and other zones need only some VMs that are alive. A VM that restarts within this time finds its registration and
	// those of others.
	registrationLease = 27 * time.Second
	// renewInterval is the time between two renewals. Three fit into a lease.
	renewInterval = 9 * time.Second
	// retryInterval is the delay after a failed call. Refused calls are charged too, and heartbeats continue meanwhile. Up
	// to half of it is added at random, since VMs that start together have more to write than the store accepts in a second.
	retryInterval = 2 * time.Second
)

// Registrar keeps the VM registered in the store.
type Registrar struct {
	store kv.Store
	self  Member
	// isFirstStart is set if no VM of the fleet has been registered before.
	isFirstStart bool
	isResumed    atomic.Bool
	log          zerolog.Logger

	mu    sync.Mutex
	lease kv.Lease
	// isWritten is set if the registration has been written under the lease.
	isWritten    bool
	deregistered bool
	// removed receives a value when the store has removed the registration.
	removed chan struct{}
	// registered is closed after the first successful registration.
	registered      chan struct{}
	closeRegistered sync.Once
}

// NewRegistrar returns a Registrar for the VM self. isFirstStart reports that no VM of the fleet has been registered before.
func NewRegistrar(store kv.Store, self Member, isFirstStart bool, log zerolog.Logger) *Registrar {
	return &Registrar{
		store: store, self: self, isFirstStart: isFirstStart, log: log,
		removed: make(chan struct{}, 1), registered: make(chan struct{}),
	}
}

// IsResumed reports whether the VM resumed a registration from before its start. The store then also knows the other
// VMs that were registered at that time, even if it answers with stale data.
func (r *Registrar) IsResumed() bool { return r.isResumed.Load() }

// Registered returns a channel that is closed once the VM is registered.
func (r *Registrar) Registered() <-chan struct{} { return r.registered }

// Run keeps the VM registered until ctx ends or Deregister is called.
func (r *Registrar) Run(ctx context.Context) {
	if !r.isFirstStart {
		if err := r.resume(ctx); err != nil {
			logevent.RegistrationFailed.Log(r.log).Err(err).Send()
		}
	}
	if r.IsResumed() {
		periodic.Await(ctx, r.removed, renewInterval)
	}
	for ctx.Err() == nil && !r.isDeregistered() {
		wait := renewInterval
		if err := r.renew(ctx); err != nil {
			logevent.RegistrationFailed.Log(r.log).Err(err).Send()
			wait = retryInterval + rand.N(retryInterval/2)
		}
		periodic.Await(ctx, r.removed, wait)
	}
}

// NotifyRemoved reports that the store has removed the registration. The registration is written again at once: its
// lease may have ended, or may still run without the key.
func (r *Registrar) NotifyRemoved() {
	r.mu.Lock()
	r.isWritten = false
	r.mu.Unlock()
	select {
	case r.removed <- struct{}{}:
	default:
	}
}

// VerifyRegistration checks the registration against the items of a store that has come back from an older copy of itself. If it
// was written or its lease was granted in the time that the store has lost, the VM registers again at once.
func (r *Registrar) VerifyRegistration(era uint64, items map[string]kv.Item) {
	item, found := items[r.key()]
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.deregistered || r.lease.ID == 0 || r.lease.Era >= era:
		return
	case found && item.Lease == r.lease.ID:
		r.lease.Era = era
		return
	}
	r.lease, r.isWritten = kv.Lease{}, false
	select {
	case r.removed <- struct{}{}:
	default:
	}
}

// verifyLease forgets the lease if the store has begun a new era in which the registration is not attached to it: the ID may then
// belong to the lease of another owner.
func (r *Registrar) verifyLease(ctx context.Context) error {
	lease, _ := r.leaseState()
	if lease.ID == 0 || lease.Era >= r.store.Era() {
		return nil
	}
	page, err := r.store.Range(ctx, r.key(), "")
	if err != nil {
		return err
	}
	items := map[string]kv.Item{}
	for _, i := range page.Items {
		items[i.Key] = i
	}
	r.VerifyRegistration(page.Era, items)
	return nil
}

func (r *Registrar) isDeregistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deregistered
}

// resume takes over the registration from before a restart if its lease still runs. This takes two calls, at a tenth of
// the price of granting a lease and writing the registration.
func (r *Registrar) resume(ctx context.Context) error {
	record, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	page, err := r.store.RangeStale(ctx, r.key(), "")
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		isOwn := item.Key == r.key() && item.Lease != 0 && bytes.Equal(item.Value, record)
		if !isOwn || page.Era != r.store.Era() {
			continue
		}
		err := r.store.KeepAlive(ctx, item.Lease)
		if errors.Is(err, kv.ErrNoLease) {
			return nil
		}
		if err != nil {
			return err
		}
		r.isResumed.Store(true)
		r.setLeaseState(kv.Lease{ID: item.Lease, Era: page.Era}, true)
		logevent.Registered.Log(r.log).Uint64("lease", uint64(item.Lease)).Bool("resumed", true).Send()
	}
	return nil
}

// key returns the key of the VM's registration.
func (r *Registrar) key() string { return RegistrationKey(r.self.Zone, r.self.Name) }

// renew extends the lease, or registers the VM again if there is none. A lease whose registration could not be written
// or has been removed is reused.
func (r *Registrar) renew(ctx context.Context) error {
	if err := r.verifyLease(ctx); err != nil {
		return err
	}
	lease, isWritten := r.leaseState()
	if lease.ID != 0 {
		err := r.extend(ctx, lease, isWritten)
		if !errors.Is(err, kv.ErrNoLease) {
			return err
		}
	}
	lease, err := r.store.Grant(ctx, registrationLease)
	if err != nil {
		return err
	}
	r.setLeaseState(lease, false)
	return r.write(ctx, lease)
}

func (r *Registrar) extend(ctx context.Context, lease kv.Lease, isWritten bool) error {
	if isWritten {
		return r.store.KeepAlive(ctx, lease.ID)
	}
	return r.write(ctx, lease)
}

// write writes the registration under a lease, or revokes the lease if the VM has been deregistered meanwhile.
func (r *Registrar) write(ctx context.Context, lease kv.Lease) error {
	if r.isDeregistered() {
		return r.store.Revoke(ctx, lease.ID)
	}
	record, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	write := kv.Write{Key: r.key(), Value: record, Lease: lease.ID}
	_, err = r.store.Commit(ctx, kv.Txn{Writes: []kv.Write{write}})
	if errors.Is(err, kv.ErrNoLease) {
		r.setLeaseState(kv.Lease{}, false)
	}
	if err != nil {
		return err
	}
	r.setLeaseState(lease, true)
	logevent.Registered.Log(r.log).Uint64("lease", uint64(lease.ID)).Send()
	return nil
}

func (r *Registrar) leaseState() (lease kv.Lease, isWritten bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.isWritten
}

func (r *Registrar) setLeaseState(lease kv.Lease, isWritten bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.isWritten = lease, isWritten
	if isWritten {
		r.closeRegistered.Do(func() { close(r.registered) })
	}
}

// Deregister removes the registration. The VM does not register again. The lease ends by itself: if the store has been restored,
// its ID may belong to another owner by now, whose keys a revocation would remove.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.lease, r.deregistered = kv.Lease{}, true
	r.mu.Unlock()
	if lease.ID == 0 {
		return nil
	}
	_, err := r.store.Commit(ctx, kv.Txn{Deletes: []string{r.key()}})
	return err
}

// ZonePrefix returns the prefix of the registration keys of an availability zone.
func ZonePrefix(zone string) string { return registrationPrefix + zone + "/" }

// RegistrationKey returns the key of a VM's registration. The keys of an availability zone sort in the reverse of the
// order in which its VMs become store readers, so that a VM that starts finds the first readers at the end of the range.
func RegistrationKey(zone, name string) string {
	return fmt.Sprintf("%s%04x/%s", ZonePrefix(zone), placement.Score(zone, name)>>scoreShift, name)
}

// scoreShift reduces a score of placement.Score to its first four hexadecimal digits, which are part of the key. The
// keys of VMs that share these digits may sort in the wrong order, which is harmless.
const scoreShift = 48

// FirstReadersAfter returns the key after which the registrations of the first readers of a zone sort: those of the VMs
// whose score begins with the hexadecimal digit e or f, an eighth of all registrations.
func FirstReadersAfter(zone string) string { return ZonePrefix(zone) + "e" }

// VMName returns the name of the VM whose registration is stored under the key.
func VMName(key string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(key, registrationPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != 3 {
		return "", false
	}
	return parts[2], true
}

// DecodeRegistration decodes the registration of a VM. A registration without a VM name is an error.
func DecodeRegistration(value []byte) (Member, error) {
	var m Member
	err := json.Unmarshal(value, &m)
	if err == nil && m.Name == "" {
		err = errors.New("the registration has no VM name")
	}
	return m, err
}
