// Package soak runs primrose-gateway as separate processes on one machine and breaks things around them while callers
// and backend servers check what the users are promised. Faults come from outside the processes: signals, relays on
// loopback that delay, cut, silence or reset connections, a store that misbehaves, and backend servers that do.
//
// A seed fixes the deployment and the faults with their times; the interleaving of the processes is the machine's. Not
// covered: datagrams between VMs pass no relay, so that only stopped and paused VMs silence them, and clocks are not
// stepped, since the gateway goes by the monotonic clock alone.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/child"
	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/internal/standin/link"
	"github.com/primroseladder/primroseladder/platform"
	"github.com/primroseladder/primroseladder/platform/standin"
)

// Options size a soak.
type Options struct {
	// Seed draws the deployment and the faults.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// VMsPerZone and ServersPerZone are for each service and each of the three availability zones; 0 draws them.
	VMsPerZone, ServersPerZone int
	// Callers is how many callers there are; 0 stands for 36.
	Callers int
	// GatewayPath is the path of primrose-gateway, Dir where settings files and logs are written.
	GatewayPath, Dir string
	// Logf is told what is done.
	Logf func(format string, args ...any)
}

// The bounds of the deployment, as on the users' pages.
const (
	grace        = 6 * time.Second
	drain        = 2 * time.Second
	configApply  = 2 * time.Second
	contact      = 3 * time.Second
	retryRatio   = 0.2
	retrySlack   = 60
	retryWindow  = 10 * time.Second
	routeTimeout = 2 * time.Second
	maxAttempts  = 2
	// lease is how long the entry of a backend server outlives it.
	lease = 4500 * time.Millisecond
)

const (
	// defaultCallers send about 250 requests a second together.
	defaultCallers = 36
	// startBound is how long the fleet may take to serve.
	startBound = 10 * time.Second
	// recoverBound is how long it may take after the last fault. The users' bound is 15 s.
	recoverBound = 15 * time.Second
)

var zoneRegions = map[string]string{"a": "north", "b": "north", "c": "south"}

var zoneNames = []string{"a", "b", "c"}

var serviceNames = []string{"orders", "lookups"}

// world is a deployment with its callers.
type world struct {
	options Options
	random  *rand.Rand
	headers gateway.Headers
	store   *kvtest.Store
	ledger  *ledger
	// guard keeps the block of loopback addresses.
	guard net.Listener
	vms   []*vm
	// byAddress are the VMs by the address that callers are told.
	byAddress map[string]*vm

	mu         sync.Mutex
	servers    map[string]*backendServer
	nextServer int
	config     *route.Config
}

// Run plays one soak and returns the promises that were broken. Its error tells that the soak itself did not work.
func Run(o Options) (faults []string, err error) {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), headers: platform.Headers(), store: kvtest.New(),
		ledger: newLedger(), byAddress: map[string]*vm{}, servers: map[string]*backendServer{},
	}
	defer w.close()
	if err := w.build(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background, callers sync.WaitGroup
	background.Go(func() { periodic.Run(ctx, expireInterval, func() { w.store.ExpireLeases(time.Now()) }) })
	if err := w.awaitServing(startBound); err != nil {
		return w.ledger.faults, err
	}
	callerContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for n := range w.callerCount() {
		callers.Go(func() { newCaller(w, n).run(callerContext) })
	}
	w.injectFaults()
	if err := w.awaitServing(recoverBound); err != nil {
		w.ledger.fault("RECOVER: %v", err)
	}
	stopCallers()
	callers.Wait()
	w.stopAll()
	cancel()
	background.Wait()
	w.judge()
	return w.ledger.faults, nil
}

func (w *world) callerCount() int {
	if w.options.Callers > 0 {
		return w.options.Callers
	}
	return defaultCallers
}

// Each soak has a block of loopback addresses, 127.B.0.0/16, with B from firstBlock on.
const (
	firstBlock = 101
	// maxBlocks is how many soaks may run on a machine at once.
	maxBlocks = 100
)

// takeBlock returns the first free block of loopback addresses. The guard keeps it.
func takeBlock() (block int, guard net.Listener, err error) {
	for n := range maxBlocks {
		block = firstBlock + n
		guard, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, readyPort))
		if err == nil {
			return block, guard, nil
		}
	}
	return 0, nil, fmt.Errorf("no free block of loopback addresses: %w", err)
}

func (w *world) build() error {
	block, guard, err := takeBlock()
	if err != nil {
		return err
	}
	w.guard = guard
	vms, servers := w.options.VMsPerZone, w.options.ServersPerZone
	if vms == 0 {
		vms = 1 + w.random.IntN(3)
	}
	if servers == 0 {
		servers = 2 + w.random.IntN(3)
	}
	if err := w.putConfig(w.newConfig(1, serviceNames[0])); err != nil {
		return err
	}
	for _, zone := range zoneNames {
		for _, service := range serviceNames {
			for range servers {
				if err := w.join(service, zone); err != nil {
					return err
				}
			}
		}
	}
	for z, zone := range zoneNames {
		for n := range vms {
			if err := w.addVM(fmt.Sprintf("127.%d.%d.%d", block, z+1, n+1), fmt.Sprintf("vm-%s-%d", zone, n+1), zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) addVM(ip, name, zone string) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	settingsPath := filepath.Join(w.options.Dir, name+".json")
	v := &vm{
		Process: child.Process{
			Name: name, Program: w.options.GatewayPath, LogPath: filepath.Join(w.options.Dir, name+".log"),
			Env: []string{platform.SettingsVariable + "=" + settingsPath},
		},
		settingsPath: settingsPath, store: w.store.Client(), faults: &spans{}, storeFaults: &spans{},
		storeLinks:  [2]*link.Direction{link.NewDirection(name, "store"), link.NewDirection("store", name)},
		callerLinks: [2]*link.Direction{link.NewDirection("callers", name), link.NewDirection(name, "callers")},
	}
	w.vms = append(w.vms, v)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	v.storeServer = &http.Server{Handler: standin.NewStoreHandler(v.store)}
	go func() { _ = v.storeServer.Serve(listener) }()
	if v.storeRelay, err = link.NewRelay(listener.Addr().String(), v.storeLinks[0], v.storeLinks[1]); err != nil {
		return err
	}
	if v.callerRelay, err = link.NewRelay(at(callerPort), v.callerLinks[0], v.callerLinks[1]); err != nil {
		return err
	}
	v.settings = gateway.Settings{
		VM: name, Zone: zone, Region: zoneRegions[zone], Regions: zoneRegions, CallerListen: at(callerPort),
		ReadyListen: at(readyPort), DirectoryListen: at(directoryPort), PeerListen: at(peerPort), MetricsListen: at(metricsPort),
		StoreAddress: v.storeRelay.Address(), Cores: 0.5, LinkMbps: 1000, Grace: grace, MaxAnswerTTL: 5 * time.Second,
		RetryRatio: retryRatio, RetryWindow: retryWindow, RetrySlack: retrySlack,
	}
	w.byAddress[v.settings.CallerListen] = v
	if err := v.writeSettings(); err != nil {
		return err
	}
	return v.start(w.ledger)
}

// newConfig returns a version in which the orders of a host go to a service.
func (w *world) newConfig(version uint64, ordersTo string) *route.Config {
	out := &route.Config{
		Version: version, Limits: route.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, name := range serviceNames {
		out.Services = append(out.Services, route.Service{Name: name, MaxConnections: 360})
	}
	add := func(name, prefix string, kind route.Kind, service string) {
		out.Routes = append(out.Routes, route.Route{
			Name: name, Host: callerHost, Prefix: prefix, Kind: kind, Timeout: routeTimeout, TargetLatency: time.Second,
			MaxAttempts: maxAttempts, Shares: []route.Share{{Service: service, Weight: 1}},
		})
	}
	add("orders", "/orders/", route.NonIdempotent, ordersTo)
	add("lookups", "/lookups/", route.Idempotent, "lookups")
	return out
}

func (w *world) putConfig(c *route.Config) error {
	text, err := standin.EncodeConfig(c)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.config = c
	w.mu.Unlock()
	w.store.Put(standin.ConfigKey, string(text))
	w.ledger.acknowledge(c)
	return nil
}

// join starts a backend server.
func (w *world) join(service, zone string) error {
	w.mu.Lock()
	w.nextServer++
	id := fmt.Sprintf("i-%d", w.nextServer)
	w.mu.Unlock()
	b, err := newBackendServer(id, service, zone, w.ledger, w.headers)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.servers[id] = b
	w.mu.Unlock()
	return w.putServer(b.Server)
}

func (w *world) putServer(s roster.Server) error {
	text, err := standin.EncodeServer(s)
	if err != nil {
		return err
	}
	w.store.Put(standin.ServerKey(s.ID), string(text))
	return nil
}

// expireInterval is the time between two sweeps of the store's leases.
const expireInterval = 200 * time.Millisecond

func (w *world) serverList() []*backendServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*backendServer, 0, len(w.servers))
	for n := range w.nextServer {
		if b := w.servers[fmt.Sprintf("i-%d", n+1)]; b != nil {
			out = append(out, b)
		}
	}
	return out
}

// awaitServing waits until each VM is ready and serves.
func (w *world) awaitServing(bound time.Duration) error {
	served := 0
	return periodic.Poll(bound, func() error {
		for ; served < len(w.vms); served++ {
			v := w.vms[served]
			if err := w.probe(v, fmt.Sprintf("probe-%d-%d", served, time.Now().UnixNano())); err != nil {
				return fmt.Errorf("%s does not serve: %w", v.Name, err)
			}
		}
		return nil
	})
}

// probe sends one request that may be run again through a VM.
func (w *world) probe(v *vm, id string) error {
	ready, err := shortClient.Get("http://" + v.settings.ReadyListen + platform.Paths().Ready)
	if err != nil {
		return err
	}
	_ = ready.Body.Close()
	if ready.StatusCode != http.StatusOK {
		return fmt.Errorf("readiness has status %d", ready.StatusCode)
	}
	r := &request{id: id, method: http.MethodGet, host: callerHost, uri: "/lookups/probe", kind: route.Idempotent, vm: v, limit: routeTimeout}
	status, err := w.exchange(context.Background(), shortClient, r)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// stopAll stops all VMs as planned, at once.
func (w *world) stopAll() {
	var wait sync.WaitGroup
	for _, v := range w.vms {
		wait.Go(func() { v.stop(w.ledger) })
	}
	wait.Wait()
}

func (w *world) close() {
	for _, v := range w.vms {
		v.close()
	}
	for _, b := range w.serverList() {
		b.crash()
	}
	if w.guard != nil {
		_ = w.guard.Close()
	}
}
