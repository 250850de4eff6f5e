package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/mirror"
)

// propagationLimit is how long after its acknowledgement a change must be in force at all VMs that reach the store.
const propagationLimit = 2 * time.Second

// vm is a VM of a zone with its own client of the store.
type vm struct {
	name string
	zone string
	// stop ends the VM without notice.
	stop context.CancelFunc
	// isUp is set once the VM has started.
	isUp atomic.Bool
	// announcedAsReader is set if the VM last announced to other zones that it reads the store.
	announcedAsReader atomic.Bool
	client            *kvtest.Client
	fleet             *membership.Fleet
	replica           *mirror.Copy
	feed              *mirror.Feed
	mirror            *mirror.Mirror
	// transfers is the number of full copies that the VM is sending.
	transfers atomic.Int32

	mu     sync.Mutex
	values map[string]string
}

func (v *vm) apply(items []kv.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, i := range items {
		if i.Deleted {
			delete(v.values, i.Key)
			continue
		}
		v.values[i.Key] = string(i.Value)
		if name, ok := membership.VMName(i.Key); ok {
			v.fleet.Register(membership.Member{Name: name, Zone: string(i.Value), Region: "r"})
		}
	}
}

func (v *vm) value(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[key]
}

// cluster simulates the VMs of one or more zones of a region in fake time. Heartbeats and fetches take no time, except
// as set by fullCopyTime.
type cluster struct {
	store *kvtest.Store
	vms   []*vm
	// zones is the number of zones that the VMs are in; 0 means one.
	zones int
	// needsRegistration is set if a VM sends heartbeats only to VMs whose registrations it has read or whose heartbeats
	// it has received.
	needsRegistration bool
	// isRestart is set if the VMs resume their registrations.
	isRestart bool
	// startsWithin is the time over which the VMs start one after the other; 0 means all at once.
	startsWithin time.Duration
	// fullCopyTime is the time that one full copy, or one large change, takes over the otherwise idle link of the VM that
	// serves it.
	fullCopyTime time.Duration
}

// putRegistrations writes the registrations of the VMs to the store, where they remain after a power failure.
func (c *cluster) putRegistrations(size int) {
	for n := range size {
		m := c.member(n)
		c.store.Put(membership.RegistrationKey(m.Zone, m.Name), m.Zone)
	}
}

func (c *cluster) Fetch(_ context.Context, address string, after kv.Position) (mirror.Changes, error) {
	for _, v := range c.vms {
		if v.name == address {
			return c.transfer(v, after)
		}
	}
	return mirror.Changes{}, errors.New("no such VM")
}

// fetchTimeout is how long a VM waits for the full copy of another one.
const fetchTimeout = 2 * time.Second

// transfer sends the changes over the link of the VM that serves them. Concurrent transfers share the link. Serve
// returns sooner, since the socket buffers the full copy.
func (c *cluster) transfer(from *vm, after kv.Position) (changes mirror.Changes, err error) {
	err = from.feed.Serve(after, func(served mirror.Changes) error {
		changes = served
		return nil
	})
	if err != nil || !changes.IsLarge(after) || c.fullCopyTime == 0 {
		return changes, err
	}
	took := time.Duration(from.transfers.Add(1)) * c.fullCopyTime
	defer from.transfers.Add(-1)
	time.Sleep(min(took, fetchTimeout))
	if took > fetchTimeout {
		return mirror.Changes{}, context.DeadlineExceeded
	}
	return changes, nil
}

type peers struct{ *membership.Fleet }

func (p peers) Sources() []mirror.Source {
	var out []mirror.Source
	for _, m := range p.Fleet.Sources() {
		out = append(out, mirror.Source{Address: m.Name, At: m.Position(), Confirmed: m.Confirmed})
	}
	return out
}

func newCluster(ctx context.Context, store *kvtest.Store, size int) *cluster {
	c := &cluster{store: store}
	c.start(ctx, size)
	return c
}

// meshSize makes zones large at a number of VMs that a test can simulate.
const meshSize = 24

// startStep is the difference between the numbers of two VMs that start one after the other.
const startStep = 7

func (c *cluster) start(ctx context.Context, size int) {
	store := c.store
	registered := make(chan struct{})
	close(registered)
	regions := map[string]string{"a": "r", "b": "r", "c": "r"}
	for n := range size {
		self := c.member(n)
		v := &vm{name: self.Name, zone: self.Zone, client: store.Client(), values: map[string]string{}}
		v.fleet = membership.New(self, regions, zerolog.Nop())
		v.fleet.SetMeshSize(meshSize)
		for other := range size {
			if c.zones > 1 && !c.needsRegistration {
				v.fleet.Register(c.member(other))
			}
		}
		v.replica = mirror.NewCopy(v.apply, numbered{})
		v.feed = mirror.NewFeed(v.replica)
		announce := func() {
			c.sendHeartbeat(v, c.knownPeers(v))
			c.notifyZoneRelays(v)
		}
		v.mirror = mirror.New(mirror.Options{
			Store: v.client, Copy: v.replica, Peers: peers{v.fleet}, Fetcher: c, ZonePrefix: membership.ZonePrefix(v.zone),
			FirstReadersAfter: membership.FirstReadersAfter(v.zone),
			Registered:        registered, IsResumed: func() bool { return c.isRestart },
			OnStateChange: announce, OnConfirm: func() { c.notifyZoneRelays(v) }, Log: zerolog.Nop(),
		})
		c.vms = append(c.vms, v)
	}
	for n, v := range c.vms {
		ctx, stop := context.WithCancel(ctx)
		v.stop = stop
		go func() {
			time.Sleep(c.startsWithin * time.Duration(n*startStep%size) / time.Duration(size))
			v.isUp.Store(true)
			go v.mirror.Run(ctx)
			c.sendHeartbeat(v, c.knownPeers(v))
			for ctx.Err() == nil {
				time.Sleep(membership.HeartbeatInterval)
				c.reportSilent(v, v.fleet.UpdateLiveness(time.Now()))
				c.sendHeartbeat(v, c.heartbeatTargets(v))
			}
		}()
	}
}

// member returns the registration of VM n.
func (c *cluster) member(n int) membership.Member {
	return membership.Member{Name: fmt.Sprintf("vm-%d", n), Zone: string(rune('a' + n%max(1, c.zones))), Region: "r"}
}

// notifyZoneRelays sends the state of a VM that reads the store, or has just stopped doing so, to the relays of the
// other zones.
func (c *cluster) notifyZoneRelays(from *vm) {
	self := from.status()
	if wasReader := from.announcedAsReader.Swap(self.IsReader); !self.IsReader && !wasReader {
		return
	}
	for _, relay := range from.fleet.ZoneRelays() {
		for _, v := range c.vms {
			if v.name == relay.Name {
				v.fleet.ReceiveHeartbeat(self, time.Now())
			}
		}
	}
}

// status returns what the VM announces about itself.
func (v *vm) status() membership.Member {
	at := v.replica.Position()
	return membership.Member{
		Name: v.name, Zone: v.zone, Region: "r", IsStoreUnreachable: v.mirror.IsStoreUnreachable(), Revision: at.Revision, Era: at.Era,
		AgeMS: v.replica.Age(time.Now()).Milliseconds(), IsReader: v.fleet.ReaderRank() == 0,
	}
}

// knownPeers returns the zone peers that a VM is aware of.
func (c *cluster) knownPeers(v *vm) []membership.Member {
	if c.needsRegistration {
		return v.fleet.ZonePeers()
	}
	return c.all()
}

// heartbeatTargets returns the VMs that get the regular heartbeat of a VM.
func (c *cluster) heartbeatTargets(v *vm) []membership.Member {
	if c.needsRegistration {
		return v.fleet.HeartbeatTargets(time.Now())
	}
	return c.all()
}

func (c *cluster) all() []membership.Member {
	var out []membership.Member
	for _, v := range c.vms {
		out = append(out, c.memberOf(v))
	}
	return out
}

func (c *cluster) memberOf(v *vm) membership.Member {
	return membership.Member{Name: v.name, Zone: v.zone, Region: "r"}
}

// sendHeartbeat sends a heartbeat to the given VMs that are up and in the sender's zone, and to the sender itself. In a
// large zone a VM that did not know the sender answers with its own heartbeat.
func (c *cluster) sendHeartbeat(from *vm, to []membership.Member) {
	now := time.Now()
	self := from.status()
	known := map[string]bool{from.name: true}
	for _, m := range to {
		known[m.Name] = true
	}
	for _, v := range c.vms {
		if v.isUp.Load() && v.zone == from.zone && known[v.name] {
			isNew := v.fleet.ReceiveHeartbeat(self, now)
			if isNew && v != from && v.fleet.IsLargeZone() {
				from.fleet.ReceiveHeartbeat(v.status(), now)
			}
		}
	}
}

// reportSilent reports silent VMs to the VMs of the zone. A VM that is reported itself sends a heartbeat to all others.
func (c *cluster) reportSilent(from *vm, silent []string) {
	for _, name := range silent {
		for _, v := range c.vms {
			if v.isUp.Load() && v.zone == from.zone && v.fleet.ReceiveSilenceReport(name, time.Now()) {
				c.sendHeartbeat(v, v.fleet.ZonePeers())
			}
		}
	}
}

// withoutValue returns the names of the VMs whose copy does not hold the value of the key.
func (c *cluster) withoutValue(key, value string) []string {
	var out []string
	for _, v := range c.vms {
		if v.value(key) != value {
			out = append(out, v.name)
		}
	}
	return out
}

// readers returns the VMs that read the store, including those in reserve.
func (c *cluster) readers() []*vm {
	var out []*vm
	for _, v := range c.vms {
		if v.fleet.ReaderRank() >= 0 {
			out = append(out, v)
		}
	}
	return out
}

// TestChangeIsInForceEverywhere checks that a change reaches all VMs in time under faults of the store and of VMs, some
// of which once caused VMs to miss it.
func TestChangeIsInForceEverywhere(t *testing.T) {
	tests := []struct {
		name string
		// change writes the change under the fault. It returns the names of the VMs that need not receive it.
		change func(c *cluster) []string
	}{
		{"no fault", func(c *cluster) []string {
			c.store.Put("config", "2")
			return nil
		}},
		{"the history is discarded during a watch", func(c *cluster) []string {
			// Day scale-2: the watch of the configuration continued for 25 s without the change.
			c.store.SetWatchesMissChanges(true)
			c.store.Put("other", "1")
			c.store.Put("config", "2")
			c.store.Compact()
			c.store.SetWatchesMissChanges(false)
			return nil
		}},
		{"calls of both readers are refused", func(c *cluster) []string {
			// Day trouble-1: readers whose calls were refused took the copies of their followers as proof that no
			// change was missing.
			return c.putWithReaderFault((*kvtest.Client).SetDown)
		}},
		{"calls of one reader hang", func(c *cluster) []string {
			// Random day fresh-475f: a reader waited for its own call and did not fetch the change from its zone peers.
			c.readers()[0].client.SetHanging(true)
			c.store.Put("config", "2")
			return nil
		}},
		{"the reader is lost", func(c *cluster) []string {
			reader := c.readers()[0]
			reader.stop()
			c.store.Put("config", "2")
			return []string{reader.name}
		}},
		{"calls of both readers hang", func(c *cluster) []string {
			return c.putWithReaderFault((*kvtest.Client).SetHanging)
		}},
	}
	fleets := []struct {
		zones, size int
		// isLarge is set if the VMs of a zone do not send regular heartbeats to all others.
		isLarge bool
	}{{1, 12, false}, {3, 12, false}, {2, 70, true}}
	for _, fleet := range fleets {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%d zones, %d VMs, %s", fleet.zones, fleet.size, test.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					store := kvtest.New()
					store.Put("config", "1")
					c := &cluster{store: store, zones: fleet.zones, needsRegistration: fleet.isLarge}
					if fleet.isLarge {
						c.putRegistrations(fleet.size)
					}
					c.start(ctx, fleet.size)
					time.Sleep(4 * time.Second)
					qt.Assert(t, c.withoutValue("config", "1"), qt.HasLen, 0)
					exempt := test.change(c)
					time.Sleep(propagationLimit)
					missing := slices.DeleteFunc(c.withoutValue("config", "2"), func(name string) bool {
						return slices.Contains(exempt, name)
					})
					qt.Check(t, missing, qt.HasLen, 0)
					cancel()
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// putWithReaderFault sets a fault at the clients of all readers, then writes the change. It returns the readers' names.
func (c *cluster) putWithReaderFault(set func(*kvtest.Client, bool)) []string {
	var out []string
	for _, v := range c.readers() {
		set(v.client, true)
		out = append(out, v.name)
	}
	c.store.Put("config", "2")
	return out
}

// TestFewVMsReadTheStore checks that one VM of a zone calls the store once a second while nothing changes.
func TestFewVMsReadTheStore(t *testing.T) {
	const seconds = 30
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		c := newCluster(ctx, store, 40)
		time.Sleep(3 * time.Second)
		before := store.Calls()
		time.Sleep(seconds * time.Second)
		qt.Check(t, len(c.readers()), qt.Equals, 2)
		qt.Check(t, store.Calls()-before <= seconds+2, qt.IsTrue, qt.Commentf("%d calls", store.Calls()-before))
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestOneZoneReadsForItsRegion checks that the VMs of three zones call the store no more often than those of one.
func TestOneZoneReadsForItsRegion(t *testing.T) {
	const seconds = 30
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		c := &cluster{store: store, zones: 3}
		c.start(ctx, 60)
		time.Sleep(3 * time.Second)
		before := store.Calls()
		time.Sleep(seconds * time.Second)
		qt.Check(t, store.Calls()-before <= seconds+2, qt.IsTrue, qt.Commentf("%d calls", store.Calls()-before))
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestLargeZonesReadNoMoreOften simulates a part of a fleet of 300 VMs, in which the first VM of a zone follows the
// reader of another zone. When it announced each response of the store only to its monitors, the other VMs considered
// their copies old, and each called the store.
func TestLargeZonesReadNoMoreOften(t *testing.T) {
	const seconds = 20
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		c := &cluster{store: store, zones: 2, needsRegistration: true}
		c.putRegistrations(70)
		c.start(ctx, 70)
		time.Sleep(4 * time.Second)
		before := store.Calls()
		time.Sleep(seconds * time.Second)
		qt.Check(t, store.Calls()-before <= seconds+2, qt.IsTrue, qt.Commentf("%d calls", store.Calls()-before))
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestFewCallsDuringOutage checks that the VMs of a zone do not overload a store that is down for all of them.
func TestFewCallsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		store.Put("config", "1")
		c := newCluster(ctx, store, 12)
		time.Sleep(3 * time.Second)
		for _, v := range c.vms {
			v.client.SetDown(true)
		}
		before := store.Calls()
		time.Sleep(10 * time.Second)
		// Each VM calls once in two seconds at most, and two of them up to four times a second.
		qt.Check(t, store.Calls()-before <= 150, qt.IsTrue, qt.Commentf("%d calls", store.Calls()-before))
		for _, v := range c.vms {
			v.client.SetDown(false)
		}
		store.Put("config", "2")
		time.Sleep(propagationLimit)
		qt.Check(t, c.withoutValue("config", "2"), qt.HasLen, 0)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestManyVMsStartTogether starts 75 VMs, a quarter of a fleet of 300 after a power failure: if each made a full read
// of seven pages, they would exceed the reads that the store serves in a second.
func TestManyVMsStartTogether(t *testing.T) {
	const (
		size      = 75
		servers   = 270
		readLimit = 500
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		store.Put("config", "1")
		c := &cluster{store: store, needsRegistration: true}
		c.putRegistrations(size)
		for n := range servers {
			store.Put(fmt.Sprintf("servers/%d", n), "1")
		}
		store.SetReadLimit(readLimit)
		c.start(ctx, size)
		time.Sleep(propagationLimit)
		qt.Check(t, c.withoutValue("servers/7", "1"), qt.HasLen, 0)
		before := store.Calls()
		// Each VM reads the registrations of its zone in two pages. Only a few read the full store, in seven.
		qt.Check(t, before <= 2*size+5*7, qt.IsTrue, qt.Commentf("%d calls at the start", before))
		store.Put("config", "2")
		time.Sleep(propagationLimit)
		qt.Check(t, c.withoutValue("config", "2"), qt.HasLen, 0)
		// A VM whose call was refused calls once more; two of them continue to read.
		qt.Check(t, store.Calls()-before <= size+10, qt.IsTrue, qt.Commentf("%d calls after the start", store.Calls()-before))
		cancel()
		time.Sleep(5 * time.Second)
	})
}
