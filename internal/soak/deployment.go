// Package soak runs primrose-gateway as separate processes on one machine and injects faults around them, while callers
// and backend servers check the promises made to the users. All faults come from outside the processes: signals, relays
// on loopback that delay, cut or reset connections, and faults of the store and of backend servers.
//
// A seed fixes the deployment, the faults and their times, but not how the processes interleave. Two kinds of faults are
// not covered. Datagrams between VMs pass no relay, so that they stop only when a VM is stopped or paused. Clocks are not
// stepped, since the gateway uses the monotonic clock alone.
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

// Options configures a soak.
type Options struct {
	// Seed determines the deployment and the faults.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// VMsPerZone is the number of VMs in each of the three availability zones, ServersPerZone that of the backend servers
	// of each service in each zone. A number of 0 is replaced by a random one that the seed determines.
	VMsPerZone, ServersPerZone int
	// Callers is the number of callers; 0 means 36.
	Callers int
	// FaultsOnly leaves out all series, so that seeds from before these have the course that failed.
	FaultsOnly bool
	// Only is the name of a series to which the faults are restricted, if it is not empty.
	Only string
	// GatewayPath is the path of the primrose-gateway program, Dir the directory for settings files and logs.
	GatewayPath, Dir string
	// Logf logs each fault and the counts of the result.
	Logf func(format string, args ...any)
}

// The time bounds and limits of the deployment, as the users' pages set them.
const (
	gracePeriod      = 6 * time.Second
	drainBound       = 2 * time.Second
	configApplyBound = 2 * time.Second
	// contactBound is for how long a VM must have been undisturbed before the checks that need its connections apply.
	contactBound      = 3 * time.Second
	retryBudgetRatio  = 0.2
	retryBudgetSlack  = 60
	retryBudgetWindow = 10 * time.Second
	routeTimeout      = 2 * time.Second
	maxAttempts       = 2
	// leaseTTL is how long the store keeps the entry of a backend server that has crashed.
	leaseTTL = 4500 * time.Millisecond
)

const (
	// defaultCallers send about 250 requests a second together.
	defaultCallers = 36
	// startBound is how long the fleet may take from its start until all VMs serve.
	startBound = 10 * time.Second
	// recoverBound is how long it may take from the end of the last fault until all VMs serve, as the users require.
	recoverBound = 15 * time.Second
)

var zoneRegions = map[string]string{"a": "north", "b": "north", "c": "south"}

var zoneNames = []string{"a", "b", "c"}

var serviceNames = []string{"orders", "lookups"}

// deployment is a fleet of gateway processes with its store, its backend servers and its callers.
type deployment struct {
	options Options
	random  *rand.Rand
	headers gateway.Headers
	store   *kvtest.Store
	ledger  *ledger
	// blockListener reserves the block of loopback addresses.
	blockListener net.Listener
	vms           []*vm
	// byAddress holds the VMs by the address that the directory returns to callers.
	byAddress map[string]*vm

	mu         sync.Mutex
	servers    map[string]*backendServer
	nextServer int
	config     *route.Config
}

// Run runs one soak and returns the violations of promises. It returns an error if the soak itself could not run.
func Run(o Options) (violations []string, err error) {
	d := &deployment{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), headers: platform.Headers(), store: kvtest.New(),
		ledger: newLedger(), byAddress: map[string]*vm{}, servers: map[string]*backendServer{},
	}
	defer d.close()
	if err := d.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background, callers sync.WaitGroup
	background.Go(func() { periodic.Run(ctx, expireInterval, func() { d.store.ExpireLeases(time.Now()) }) })
	if err := d.awaitServing(startBound); err != nil {
		return d.ledger.violations, err
	}
	callerContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for n := range d.callerCount() {
		callers.Go(func() { newCaller(d, n).run(callerContext) })
	}
	d.injectFaults()
	if err := d.awaitServing(recoverBound); err != nil {
		d.ledger.recordViolation("RECOVER: %v", err)
	}
	stopCallers()
	callers.Wait()
	d.stopAll()
	cancel()
	background.Wait()
	d.checkResults()
	return d.ledger.violations, nil
}

func (d *deployment) callerCount() int {
	if d.options.Callers > 0 {
		return d.options.Callers
	}
	return defaultCallers
}

// Each soak uses its own block of loopback addresses, 127.B.0.0/16, with B from firstBlock on.
const (
	firstBlock = 101
	// maxParallelSoaks is how many soaks can run on one machine at the same time.
	maxParallelSoaks = 100
)

// reserveBlock returns the first free block of loopback addresses. The block is reserved until the listener is closed.
func reserveBlock() (block int, listener net.Listener, err error) {
	for n := range maxParallelSoaks {
		block = firstBlock + n
		listener, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, readyPort))
		if err == nil {
			return block, listener, nil
		}
	}
	return 0, nil, fmt.Errorf("no free block of loopback addresses: %w", err)
}

func (d *deployment) start() error {
	block, listener, err := reserveBlock()
	if err != nil {
		return err
	}
	d.blockListener = listener
	vms, servers := d.options.VMsPerZone, d.options.ServersPerZone
	if vms == 0 {
		vms = 1 + d.random.IntN(3)
	}
	if servers == 0 {
		servers = 2 + d.random.IntN(3)
	}
	if err := d.putConfig(d.newConfig(1, serviceNames[0])); err != nil {
		return err
	}
	for _, zone := range zoneNames {
		for _, service := range serviceNames {
			for range servers {
				if err := d.startServer(service, zone); err != nil {
					return err
				}
			}
		}
	}
	for z, zone := range zoneNames {
		for n := range vms {
			if err := d.addVM(fmt.Sprintf("127.%d.%d.%d", block, z+1, n+1), fmt.Sprintf("vm-%s-%d", zone, n+1), zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *deployment) addVM(ip, name, zone string) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	settingsPath := filepath.Join(d.options.Dir, name+".json")
	v := &vm{
		Process: child.Process{
			Name: name, Program: d.options.GatewayPath, LogPath: filepath.Join(d.options.Dir, name+".log"),
			Env: []string{platform.SettingsVariable + "=" + settingsPath},
		},
		settingsPath: settingsPath, store: d.store.Client(), disturbances: &disturbances{}, storeDisturbances: &disturbances{},
		storeLinks:  [2]*link.Direction{link.NewDirection(name, "store"), link.NewDirection("store", name)},
		callerLinks: [2]*link.Direction{link.NewDirection("callers", name), link.NewDirection(name, "callers")},
	}
	d.vms = append(d.vms, v)
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
		StoreAddress: v.storeRelay.Address(), Cores: 0.5, LinkMbps: 1000, Grace: gracePeriod, MaxAnswerTTL: 5 * time.Second,
		RetryRatio: retryBudgetRatio, RetryWindow: retryBudgetWindow, RetrySlack: retryBudgetSlack,
	}
	d.byAddress[v.settings.CallerListen] = v
	if err := v.writeSettings(); err != nil {
		return err
	}
	return v.start(d.ledger)
}

// newConfig returns a configuration whose route for orders leads to the service ordersTo.
func (d *deployment) newConfig(version uint64, ordersTo string) *route.Config {
	out := &route.Config{
		Version: version, Limits: route.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, name := range serviceNames {
		out.Services = append(out.Services, route.Service{Name: name, MaxConnections: 360})
	}
	add := func(name, prefix string, kind route.Kind, services ...string) {
		var shares []route.Share
		for _, service := range services {
			shares = append(shares, route.Share{Service: service, Weight: 1})
		}
		out.Routes = append(out.Routes, route.Route{
			Name: name, Host: callerHost, Prefix: prefix, Kind: kind, Timeout: routeTimeout, TargetLatency: time.Second,
			MaxAttempts: maxAttempts, Shares: shares,
		})
	}
	add("orders", "/orders/", route.NonIdempotent, ordersTo)
	add("lookups", "/lookups/", route.Idempotent, "lookups")
	add("crashes", crashPrefix, route.Idempotent, serviceNames...)
	return out
}

func (d *deployment) putConfig(c *route.Config) error {
	text, err := standin.EncodeConfig(c)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.config = c
	d.mu.Unlock()
	d.store.Put(standin.ConfigKey, string(text))
	d.ledger.recordConfig(c)
	return nil
}

// startServer starts a backend server and registers it in the store.
func (d *deployment) startServer(service, zone string) error {
	d.mu.Lock()
	d.nextServer++
	id := fmt.Sprintf("i-%d", d.nextServer)
	d.mu.Unlock()
	b, err := newBackendServer(id, service, zone, d.ledger, d.headers)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.servers[id] = b
	d.mu.Unlock()
	return d.putServer(b.Server)
}

func (d *deployment) putServer(s roster.Server) error {
	text, err := standin.EncodeServer(s)
	if err != nil {
		return err
	}
	d.store.Put(standin.ServerKey(s.ID), string(text))
	return nil
}

// expireInterval is how often expired leases are removed from the store.
const expireInterval = 200 * time.Millisecond

func (d *deployment) listServers() []*backendServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*backendServer, 0, len(d.servers))
	for n := range d.nextServer {
		if b := d.servers[fmt.Sprintf("i-%d", n+1)]; b != nil {
			out = append(out, b)
		}
	}
	return out
}

// awaitServing waits until each VM has been ready and has served a request, at most for bound.
func (d *deployment) awaitServing(bound time.Duration) error {
	served := 0
	return periodic.Poll(bound, func() error {
		for ; served < len(d.vms); served++ {
			v := d.vms[served]
			if err := d.probe(v, fmt.Sprintf("probe-%d-%d", served, time.Now().UnixNano())); err != nil {
				return fmt.Errorf("%s does not serve: %w", v.Name, err)
			}
		}
		return nil
	})
}

// probe checks the readiness of a VM and sends one idempotent request through it.
func (d *deployment) probe(v *vm, id string) error {
	ready, err := shortClient.Get("http://" + v.settings.ReadyListen + platform.Paths().Ready)
	if err != nil {
		return err
	}
	_ = ready.Body.Close()
	if ready.StatusCode != http.StatusOK {
		return fmt.Errorf("readiness check: status %d", ready.StatusCode)
	}
	r := &request{id: id, method: http.MethodGet, host: callerHost, uri: "/lookups/probe", kind: route.Idempotent, vm: v, limit: routeTimeout}
	status, err := d.exchange(context.Background(), shortClient, r)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("probe request: status %d", status)
	}
	return err
}

// stopAll stops all VMs gracefully, at the same time.
func (d *deployment) stopAll() {
	var wait sync.WaitGroup
	for _, v := range d.vms {
		wait.Go(func() { v.stop(d.ledger) })
	}
	wait.Wait()
}

func (d *deployment) close() {
	for _, v := range d.vms {
		v.close()
	}
	for _, b := range d.listServers() {
		b.crash()
	}
	if d.blockListener != nil {
		_ = d.blockListener.Close()
	}
}
