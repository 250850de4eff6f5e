package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/platform/standin"
)

// fleet is a small deployment: gateway processes, the platform's store and backend servers.
type fleet struct {
	dir      string
	block    net.Listener
	record   *recorder
	store    *storeService
	site     *site
	machines []*machine
}

// newFleet starts a deployment with the given configuration. machines holds the numbers of machines in the zones.
func newFleet(r *recorder, machines []int, work time.Duration, config *route.Config, serversPerZone int) (f *fleet, err error) {
	f = &fleet{record: r}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return f, err
	}
	go f.endOnSignal()
	if f.store, err = newStoreService(); err != nil {
		return f, err
	}
	f.site = newSite(r, f.store, work)
	if err = f.putConfig(config); err != nil {
		return f, err
	}
	for _, service := range config.Services {
		for _, zone := range zoneNames {
			for range serversPerZone {
				if err = f.site.addServer(service.Name, zone, ""); err != nil {
					return f, err
				}
			}
		}
	}
	return f, f.startMachines(machines)
}

// endOnSignal removes the temporary folder and ends this program when it is told to stop. The processes that it has started end
// with it.
func (f *fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	_ = os.RemoveAll(f.dir)
	os.Exit(exitNotPlayed)
}

// startMachines starts the gateway processes and waits until all are ready.
func (f *fleet) startMachines(perZone []int) error {
	block, listener, err := reserveBlock()
	if err != nil {
		return err
	}
	f.block = listener
	for z, zone := range zoneNames {
		for n := range perZone[z] {
			ip := fmt.Sprintf("127.%d.%d.%d", block, z+1, n+1)
			f.machines = append(f.machines, newMachine(f.dir, ip, machineName(zone, n+1), zone, f.store.address()))
		}
	}
	for _, m := range f.machines {
		if err := m.startByPlatform(); err != nil {
			return err
		}
		f.record.logf("machine %s starts at %s", m.name, m.callerAddress())
	}
	return f.awaitReady(startBound)
}

// machineName returns the name of the machine with a number, from 1, in a zone.
func machineName(zone string, number int) string { return fmt.Sprintf("front-%s-%d", zone, number) }

// startBound is how long the machines may take to become ready.
const startBound = 10 * time.Second

var errNotReady = errors.New("the machines are not ready in time")

func (f *fleet) awaitReady(bound time.Duration) error {
	deadline := time.Now().Add(bound)
	for time.Now().Before(deadline) {
		if !slices.ContainsFunc(f.machines, func(m *machine) bool { return !m.isReady() }) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errNotReady
}

const pollInterval = 50 * time.Millisecond

// putConfig writes a configuration to the store, whose response is its acknowledgement.
func (f *fleet) putConfig(c *route.Config) error {
	text, err := standin.EncodeConfig(c)
	if err != nil {
		return err
	}
	f.store.Put(standin.ConfigKey, string(text))
	f.record.logf("configuration %d is acknowledged: %s", c.Version, text)
	return nil
}

// close ends all processes of the deployment.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
	}
	if f.site != nil {
		f.site.close()
	}
	if f.store != nil {
		_ = f.store.server.Close()
	}
	if f.block != nil {
		_ = f.block.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// newConfig returns a configuration with one route, whose requests are divided among services in equal parts.
func newConfig(version uint64, kind route.Kind, timeout time.Duration, parts []string, services []string) *route.Config {
	out := &route.Config{Version: version, Limits: route.Limits{
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	for _, name := range services {
		out.Services = append(out.Services, route.Service{Name: name, MaxConnections: 360})
	}
	r := route.Route{
		Name: "r-2b9wu3f", Host: defaultHost, Prefix: pathPrefix, Kind: kind, Timeout: timeout, TargetLatency: 800 * time.Millisecond,
		Priority: 1, MaxAttempts: 2,
	}
	for _, name := range parts {
		r.Shares = append(r.Shares, route.Share{Service: name, Weight: 1})
	}
	out.Routes = []route.Route{r}
	return out
}

const (
	pathPrefix = "/puka111/"
	// maxBodyBytes is MaxBodyBytes of the configuration in the examples of the users' pages.
	maxBodyBytes = 64 << 20
)
