// Package probe asks health endpoints of backend servers of which real work says nothing. A backend server has one
// prober, and is probed every five seconds at most. A probe that fails supports other evidence and ejects nobody by
// itself; a connection that cannot be opened counts like one of real work.
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
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// Interval is the least time between two probes of one backend server.
	Interval = 5 * time.Second
	// quietTime is how long real work must have said nothing of a backend server.
	quietTime = 5 * time.Second
	// lookInterval is the time between two looks for backend servers that need a probe.
	lookInterval = time.Second
	// timeout bounds one probe.
	timeout = time.Second
	// maxAtOnce bounds the probes at a time.
	maxAtOnce = 8
)

var probeCount = expvar.NewInt("probes")

// Board takes what a probe shows.
type Board interface {
	TimeSinceWork(backend string) time.Duration
	RecordVerification(backend string, reachable bool)
	RecordProbeFailure(backend string)
	SetDraining(backend string)
}

// Target is a backend server that this VM may probe.
type Target struct {
	Service string
	Backend string
	Address string
	// Path is the path of the health endpoint.
	Path  string
	Board Board
}

type targetKey struct{ service, backend string }

// Prober probes the targets.
type Prober struct {
	targets func() []Target
	client  *http.Client
	slots   chan struct{}

	mu   sync.Mutex
	last map[targetKey]time.Time
}

// New returns a prober. The function tells which targets are this VM's.
func New(targets func() []Target) *Prober {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: timeout}).DialContext}
	return &Prober{
		targets: targets, last: map[targetKey]time.Time{}, slots: make(chan struct{}, maxAtOnce),
		client: &http.Client{Transport: transport, Timeout: timeout},
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	periodic.Run(ctx, lookInterval, func() {
		p.look(ctx)
	})
}

func (p *Prober) look(ctx context.Context) {
	targets := p.targets()
	p.forget(targets)
	for _, t := range targets {
		if t.Board.TimeSinceWork(t.Backend) < quietTime || !p.take(t) {
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

// take books a probe of the target unless the last one is too recent.
func (p *Prober) take(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := targetKey{t.Service, t.Backend}
	if last, known := p.last[key]; known && time.Since(last) < Interval {
		return false
	}
	p.last[key] = time.Now()
	return true
}

// forget drops targets that are no longer this VM's and whose interval is over.
func (p *Prober) forget(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[targetKey]bool, len(targets))
	for _, t := range targets {
		kept[targetKey{t.Service, t.Backend}] = true
	}
	for key, last := range p.last {
		if !kept[key] && time.Since(last) >= Interval {
			delete(p.last, key)
		}
	}
}

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
	if resp.Header.Get(header.Draining) == "true" {
		t.Board.SetDraining(t.Backend)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		t.Board.RecordProbeFailure(t.Backend)
	}
}

// reportError tells a connection that could not be opened from one on which no answer came.
func reportError(t Target, err error) {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		t.Board.RecordVerification(t.Backend, false)
		return
	}
	t.Board.RecordProbeFailure(t.Backend)
}
