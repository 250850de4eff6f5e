// Package probe checks the health endpoints of backend servers that serve too few requests to assess their health. Each
// backend server is probed by one VM of the service's group, at most every five seconds. A failed probe only supports other
// evidence and never ejects a backend server by itself. A connection that a probe cannot open counts as much as one that a
// request cannot open.
package probe

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/httpstatus"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// MinInterval is the minimum time between two probes of one backend server.
	MinInterval = 5 * time.Second
	// minQuietTime is how long a backend server must have had no attempt of this VM and no opinion of a peer before it is
	// probed.
	minQuietTime = 5 * time.Second
	// scanInterval is the time between two searches for backend servers that are due for a probe.
	scanInterval = time.Second
	// timeout is the time limit of one probe, including the connection.
	timeout = time.Second
	// maxConcurrent is the maximum number of concurrent probes.
	maxConcurrent = 8
	// maxHeaderBytes limits the header of an answer. Its body is not read.
	maxHeaderBytes = 16 << 10
)

var probeCount = expvar.NewInt("probes")

// Board is the health board that receives the results of probes.
type Board interface {
	// TimeSinceWork returns the time since the last attempt of this VM on the backend server or the last opinion of a peer
	// on it.
	TimeSinceWork(backend string) time.Duration
	// RecordVerification records whether a connection to the backend server could be opened.
	RecordVerification(backend string, reachable bool)
	// RecordProbeFailure records a probe without an answer or with an error status.
	RecordProbeFailure(backend string)
	// SetDraining records that the backend server has reported that it drains.
	SetDraining(backend string)
}

// Target is a backend server that this VM probes.
type Target struct {
	Service string
	Backend string
	Address string
	// Path is the path of the health endpoint.
	Path  string
	Board Board
}

type targetKey struct{ service, backend string }

// Prober probes the targets of this VM.
type Prober struct {
	targets func() []Target
	client  *http.Client
	// slots is a semaphore with a capacity of maxConcurrent.
	slots chan struct{}

	mu        sync.Mutex
	lastProbe map[targetKey]time.Time
}

// New returns a prober. It calls targets for the current targets of this VM before each scan.
func New(targets func() []Target) *Prober {
	transport := &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: timeout}).DialContext, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Prober{
		targets: targets, lastProbe: map[targetKey]time.Time{}, slots: make(chan struct{}, maxConcurrent),
		client: &http.Client{Transport: transport, Timeout: timeout},
	}
}

// Run probes targets that are due until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	periodic.Run(ctx, scanInterval, func() {
		p.probeDue(ctx)
	})
}

// probeDue starts a probe of each target that is due. It waits while the maximum number of probes is running.
func (p *Prober) probeDue(ctx context.Context) {
	targets := p.targets()
	p.dropStale(targets)
	for _, t := range targets {
		if t.Board.TimeSinceWork(t.Backend) < minQuietTime || !p.reserve(t) {
			continue
		}
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-p.slots }()
			p.probe(ctx, t)
		}()
	}
}

// reserve records a probe of the target as made now. It returns false if the last one is less than MinInterval ago.
func (p *Prober) reserve(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := targetKey{t.Service, t.Backend}
	if last, known := p.lastProbe[key]; known && time.Since(last) < MinInterval {
		return false
	}
	p.lastProbe[key] = time.Now()
	return true
}

// dropStale removes the probe times of former targets once MinInterval has passed. A target that comes back sooner is still
// not probed too early.
func (p *Prober) dropStale(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[targetKey]bool, len(targets))
	for _, t := range targets {
		kept[targetKey{t.Service, t.Backend}] = true
	}
	for key, last := range p.lastProbe {
		if !kept[key] && time.Since(last) >= MinInterval {
			delete(p.lastProbe, key)
		}
	}
}

// probe requests the health endpoint of the target and reports the result to its board. A status from 500 on, or
// one that HTTP does not allow, is a failure.
func (p *Prober) probe(ctx context.Context, t Target) {
	probeCount.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+t.Path, nil)
	if err != nil {
		return
	}
	resp, err := p.client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			reportError(t, err)
		}
		return
	}
	_ = resp.Body.Close()
	if !httpstatus.IsFinal(resp.StatusCode) {
		t.Board.RecordProbeFailure(t.Backend)
		return
	}
	if resp.Header.Get(header.Draining) == "true" {
		t.Board.SetDraining(t.Backend)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		t.Board.RecordProbeFailure(t.Backend)
	}
}

// reportError reports a failed probe to the board: as an unreachable backend server if the connection could not be opened,
// as a failed probe otherwise.
func reportError(t Target, err error) {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		t.Board.RecordVerification(t.Backend, false)
		return
	}
	t.Board.RecordProbeFailure(t.Backend)
}
