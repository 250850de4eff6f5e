package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/platform/standin"
)

const (
	// configApply is the bound ConfigApply of the settings.
	configApply = 2 * time.Second
	// oddEntries is the number of entries of another writer, oddEntryBytes the size of each, which is ValueBytes of the settings.
	oddEntries    = 8
	oddEntryBytes = 1 << 20
	// oddEntryInterval is how long such an entry takes over the store's link of 1,000 Mbit/s.
	oddEntryInterval = 12 * time.Millisecond
	// storeHistory is History of the settings.
	storeHistory = 20 * time.Second
	// oddObservedTime is how long requests go on after the change of the configuration.
	oddObservedTime = 25 * time.Second
)

// sentRequest is a request with the time at which it was sent, and the machine that it was sent to.
type sentRequest struct {
	at      time.Time
	machine *machine
}

// playOddEntries lets another writer put entries that cannot be read among those of the backend servers. Then the operator moves
// a route to another service.
func playOddEntries(r *recorder, hasTrouble bool) (bool, error) {
	services := []string{"kafi81c", "wuno96b"}
	f, err := newFleet(r, []int{2, 2, 2, 2}, 50*time.Millisecond, newConfig(7, route.NonIdempotent, crashBudget, services[:1], services), 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	sent := map[string]sentRequest{}
	done := make(chan struct{})
	var consumers sync.WaitGroup
	for _, m := range f.machines {
		consumers.Go(func() {
			c := newConsumer(r, m.callerAddress())
			defer c.close()
			for !isClosed(done) {
				at := time.Now()
				got := c.send("POST", pathPrefix+"2f", usualBodyBytes, crashBudget)
				mu.Lock()
				sent[got.id] = sentRequest{at, m}
				mu.Unlock()
				time.Sleep(4 * pollInterval)
			}
		})
	}
	time.Sleep(contact)
	if hasTrouble {
		if err := f.putOddEntries(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact)
	if err := f.putConfig(newConfig(12, route.NonIdempotent, crashBudget, services[1:], services)); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	time.Sleep(oddObservedTime)
	close(done)
	consumers.Wait()
	late, newest := 0, time.Duration(0)
	for _, a := range f.site.ran() {
		from := sent[a.id]
		after := from.at.Sub(acknowledged)
		if from.machine == nil || a.service != services[0] || after <= configApply || !from.machine.wasInTouch(a.at) {
			continue
		}
		late++
		newest = max(newest, after)
		r.logf("request %s, sent to %s %.1f s after the acknowledgement, is run by the old service", a.id, from.machine.name, after.Seconds())
	}
	r.summaryf("requests sent later than ConfigApply after the acknowledgement and run by the old service: %d, the last one sent %.1f s "+
		"after it; CONFIG allows 0", late, newest.Seconds())
	return late > 0, nil
}

// putOddEntries writes entries that cannot be read. The store discards its history storeHistory later.
func (f *fleet) putOddEntries() error {
	for n := range oddEntries {
		value := make([]byte, oddEntryBytes)
		if _, err := rand.Read(value); err != nil {
			return err
		}
		key := standin.ServerKey(fmt.Sprintf("odd-%d", n+1))
		f.store.Put(key, string(value))
		time.Sleep(oddEntryInterval)
		f.record.logf("another writer puts %d bytes under %s", len(value), key)
	}
	time.AfterFunc(storeHistory, func() {
		f.store.Compact()
		f.record.logf("the store discards its history")
	})
	return nil
}
