package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	firstRevoke     = 5 * time.Second
	tightenedBound  = 3 * time.Second
	revokedKey      = "key-1"
	keptKey         = "key-2"
	readService     = "campanas"
	turnedAwayFor   = 8 * time.Second
	requestInterval = 50 * time.Millisecond
)

// keyedRequest is a request with a key and what was seen of it.
type keyedRequest struct {
	id, key string
	sent    time.Time
	status  int
	hasRun  bool
}

// tightenedRevoke lowers Revoke in the settings file of a running machine, takes a key away while the store turns that machine away,
// and sends requests with the key. Without the disruption the machine has the lower bound from its start.
func tightenedRevoke(r *rig) (bool, error) {
	routes := []routeRow{{"r-1", prefix, "safe", readService, "5000ms"}}
	err := r.putConfig(1, routes, []tenantRow{{"t-1", []string{revokedKey}}, {"t-2", []string{keptKey}}}, readService)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent := map[string]*keyedRequest{}
	serve := func(b *backend, c net.Conn, _ *bufio.Reader, q *http.Request) bool {
		id := q.Header.Get("Primroseladder-Request-Id")
		mu.Lock()
		if k := sent[id]; k != nil {
			k.hasRun = true
		}
		mu.Unlock()
		r.note("%s runs request %s of tenant %s", b.id, id, q.Header.Get("Primroseladder-Tenant"))
		return b.reply(c, q, http.StatusOK, true, "page "+id)
	}
	for n := range 4 {
		if _, err := r.startBackend(fmt.Sprintf("i-%d", n), readService, "central-a", 0, serve); err != nil {
			return false, err
		}
	}
	bound := firstRevoke
	if !r.isTroubled {
		bound = tightenedBound
	}
	setBound := func(to time.Duration) func(map[string]any) {
		return func(settings map[string]any) {
			bounds := settings["Bounds"].(map[string]any)
			bounds["StrictRevoke"], bounds["Revoke"] = true, fmt.Sprintf("%dms", to.Milliseconds())
		}
	}
	g, err := r.startGate(1, "central-a", map[string]string{"central-a": "guatemala-central"}, setBound(bound))
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if r.isTroubled {
		if err := g.writeSettings(setBound(tightenedBound)); err != nil {
			return false, err
		}
		r.note("the settings file has Revoke %v", tightenedBound)
		if err := g.signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	// Far more than any bound passes before the key is taken away.
	time.Sleep(12 * time.Second)
	r.note("the store turns the machine away")
	g.storeClient.SetDown(true)
	if err := r.putConfig(2, routes, []tenantRow{{"t-1", nil}, {"t-2", []string{keptKey}}}, readService); err != nil {
		return false, err
	}
	revoked := time.Now()
	var wait sync.WaitGroup
	for n := 0; time.Since(revoked) < turnedAwayFor; n++ {
		k := &keyedRequest{id: fmt.Sprintf("read-%d", n), key: revokedKey}
		mu.Lock()
		sent[k.id] = k
		mu.Unlock()
		wait.Go(func() { r.sendKeyed(g.front(), k) })
		time.Sleep(requestInterval)
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, k := range sent {
		if after := k.sent.Sub(revoked); k.hasRun && after > tightenedBound {
			late, last = late+1, max(last, after)
		}
	}
	r.note("%d of %d requests with the key ran though they were sent later than %v after it was taken away, the last one %v after",
		late, len(sent), tightenedBound, last)
	return late > 0, nil
}

// sendKeyed sends a request with its key and waits for the answer.
func (r *rig) sendKeyed(to string, k *keyedRequest) {
	k.sent = time.Now()
	q, err := http.NewRequest(http.MethodGet, "http://"+to+prefix+k.id, nil)
	if err != nil {
		return
	}
	q.Host = hostName
	q.Header.Set("Primroseladder-Request-Id", k.id)
	q.Header.Set("Primroseladder-Deadline-Ms", "5000")
	q.Header.Set("Authorization", "Bearer "+k.key)
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		r.note("request %s with %s ends without an answer: %s", k.id, k.key, describe(err))
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	k.status = answer.StatusCode
	r.note("request %s with %s is answered with %d %q %v", k.id, k.key, k.status, body, err)
}
