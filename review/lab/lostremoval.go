package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/placement"
	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/platform"
	"github.com/primroseladder/primroseladder/platform/standin"
)

const (
	// drainBound is the bound Drain of the settings.
	drainBound = 2 * time.Second
	// freezeTime is how long machines are frozen.
	freezeTime = 3500 * time.Millisecond
	// servesOn is how long a backend server goes on serving after its removal: Drain and a little longer, at times many seconds.
	servesOn = 12 * time.Second
	// killRestartDelay is the delay before the platform starts a killed process again.
	killRestartDelay = 500 * time.Millisecond
	// removalRounds is the number of removals, removalPause the time between the end of one disruption and the next removal.
	removalRounds = 5
	removalPause  = 12 * time.Second
	// removalZone is the zone in which machines are frozen and backend servers are removed.
	removalZone = "perth-fremantle"
	// removedService is the service of the backend servers.
	removedService = "wuno96b"
)

// removalMachines is the deployment of the users: 40 machines in four zones.
var removalMachines = []int{12, 8, 12, 8}

// frozenCount is a tenth of the machines.
const frozenCount = 4

// followers returns hosts and, for each, the machine of the zone that the directory assigns to it. Each machine is one that does
// not read the store for the zone.
func followers(zone string, machines, count int) (hosts, names []string) {
	weights := make([]placement.Weighted, 0, machines)
	for n := range machines {
		weights = append(weights, placement.Weighted{Name: machineName(zone, n+1), Weight: 1})
	}
	for n := 1; len(hosts) < count; n++ {
		host := fmt.Sprintf("jepu%d.example", n)
		name := weights[placement.RankWeighted(host, weights)[0]].Name
		before := 0
		for _, other := range weights {
			if other.Name != name && placement.Precedes(zone, other.Name, name) {
				before++
			}
		}
		if before >= readersPerZone && !slices.Contains(names, name) {
			hosts, names = append(hosts, host), append(names, name)
		}
	}
	return hosts, names
}

// readersPerZone is the number of machines of a zone that read the store, one of them in reserve.
const readersPerZone = 2

var errNoDirectory = errors.New("no directory answers")

// resolve asks the directories of the zone, then those of the others, which machines to use for a host.
func (f *fleet) resolve(host, zone string) (addresses []string, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"Name": {host}, "Region": {zoneRegions[zone]}, "Zone": {zone}}.Encode()
	for _, isNear := range []bool{true, false} {
		for _, m := range f.machines {
			if (m.zone == zone) != isNear {
				continue
			}
			response, err := client.Get(fmt.Sprintf("http://%s:%d/-/resolve?%s", m.ip, directoryPort, query))
			if err != nil {
				continue
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK {
				continue
			}
			if addresses, _, err = standin.DecodeAddresses(body); err == nil && len(addresses) > 0 {
				return addresses, nil
			}
		}
	}
	return nil, errNoDirectory
}

// sendByDirectory sends requests to a host, each on a new connection to the first machine that the directory names.
func (f *fleet) sendByDirectory(host, zone string, done <-chan struct{}, note func(result, *machine)) {
	byAddress := map[string]*machine{}
	for _, m := range f.machines {
		byAddress[m.callerAddress()] = m
	}
	const sendsPerAnswer, sendPause = 10, 100 * time.Millisecond
	for !isClosed(done) {
		addresses, err := f.resolve(host, zone)
		if err != nil {
			f.record.logf("consumer in %s: %v", zone, err)
			time.Sleep(pollInterval)
			continue
		}
		for range sendsPerAnswer {
			c := newConsumer(f.record, addresses[0])
			c.host = host
			got := c.send("POST", pathPrefix+"2f", usualBodyBytes, crashBudget)
			c.close()
			note(got, byAddress[addresses[0]])
			time.Sleep(sendPause)
		}
	}
}

// senders holds the machine that each request was sent to.
type senders struct {
	mu sync.Mutex
	by map[string]*machine
}

func (s *senders) note(got result, m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.by[got.id] = m
}

// playLostRemoval removes backend servers that have not reported draining, each time while a tenth of the machines is frozen and
// the others of their region are killed and start again.
func playLostRemoval(r *recorder, hasTrouble bool) (bool, error) {
	hosts, names := followers(removalZone, removalMachines[0], frozenCount)
	services := []string{removedService}
	config := newConfig(7, route.NonIdempotent, crashBudget, services, services)
	config.Routes = nil
	for n, host := range hosts {
		one := newConfig(7, route.NonIdempotent, crashBudget, services, services).Routes[0]
		one.Name, one.Host = fmt.Sprintf("r-%d", n+1), host
		config.Routes = append(config.Routes, one)
	}
	f, err := newFleet(r, removalMachines, 50*time.Millisecond, config, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	time.Sleep(contact + time.Second)
	sent := senders{by: map[string]*machine{}}
	done := make(chan struct{})
	var consumers sync.WaitGroup
	for _, host := range hosts {
		for range 2 {
			consumers.Go(func() { f.sendByDirectory(host, removalZone, done, sent.note) })
		}
	}
	for range removalRounds {
		time.Sleep(contact)
		if err := f.replaceServer(names, hasTrouble); err != nil {
			return false, err
		}
		time.Sleep(removalPause)
		f.logKeptEntries(names)
	}
	close(done)
	consumers.Wait()
	return f.countLateArrivals(sent.by) > 0, nil
}

// logKeptEntries records which of the named machines still have the entry of a removed backend server in their copy of the store.
// It is for those who look for the cause; the check does not use it.
func (f *fleet) logKeptEntries(names []string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	removals := f.site.removals()
	for _, m := range f.machines {
		if !slices.Contains(names, m.name) {
			continue
		}
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/changes?after=0", m.ip, firstPeerPort))
		if err != nil {
			continue
		}
		var changes mirror.Changes
		err = json.NewDecoder(response.Body).Decode(&changes)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		for _, e := range changes.Entries {
			id, _ := platform.Codec{}.ServerID(e.Key)
			if _, isRemoved := removals[id]; isRemoved && !e.Deleted {
				f.record.logf("cause: the copy of machine %s is complete up to revision %d and still has the entry of %s", m.name, changes.Revision, id)
			}
		}
	}
}

// countLateArrivals returns how many requests were run later than Drain after the removal of their backend server, sent by
// machines in touch.
func (f *fleet) countLateArrivals(sentBy map[string]*machine) (late int) {
	removals := f.site.removals()
	untouched := 0
	for _, a := range f.site.ran() {
		m, removedAt := sentBy[a.id], removals[a.server]
		after := a.at.Sub(removedAt)
		switch {
		case m == nil || removedAt.IsZero() || after <= drainBound:
		case !m.wasInTouch(a.at):
			untouched++
		default:
			late++
			f.record.logf("request %s runs at %s %.1f s after its removal, sent by %s in touch", a.id, a.server, after.Seconds(), m.name)
		}
	}
	f.record.summaryf("requests run later than Drain after the store had accepted the removal of their backend server: %d sent by "+
		"machines in touch, %d by others; DRAIN allows 0 of the first kind", late, untouched)
	return late
}

// replaceServer starts a backend server and removes the entry of another, which goes on serving. With trouble, the named machines
// are frozen at that time, and the others of their region are killed and started again.
func (f *fleet) replaceServer(names []string, hasTrouble bool) error {
	leaving := f.site.serversIn(removalZone)[0]
	if err := f.site.addServer(removedService, removalZone, ""); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if !hasTrouble {
		leaving.remove(servesOn)
		time.Sleep(freezeTime)
		return nil
	}
	var frozen, killed []*machine
	for _, m := range f.machines {
		switch {
		case slices.Contains(names, m.name):
			frozen = append(frozen, m)
		case zoneRegions[m.zone] == zoneRegions[removalZone]:
			killed = append(killed, m)
		}
	}
	for _, m := range frozen {
		f.record.logf("machine %s is frozen", m.name)
		if err := m.freeze(); err != nil {
			return err
		}
	}
	thaw := time.After(freezeTime)
	time.Sleep(time.Second)
	leaving.remove(servesOn)
	f.killAtOnce(killed)
	<-thaw
	for _, m := range frozen {
		f.record.logf("machine %s wakes", m.name)
		if err := m.wake(); err != nil {
			return err
		}
	}
	return nil
}

// killAtOnce kills the processes of machines and starts them again.
func (f *fleet) killAtOnce(machines []*machine) {
	var restarts sync.WaitGroup
	for _, m := range machines {
		restarts.Go(func() {
			f.record.logf("machine %s is killed", m.name)
			m.killByPlatform()
			time.Sleep(killRestartDelay)
			if err := m.startByPlatform(); err != nil {
				f.record.logf("machine %s is not started again: %v", m.name, err)
			}
		})
	}
	restarts.Wait()
}
