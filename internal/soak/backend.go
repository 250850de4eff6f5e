package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/standin/link"
)

// behaviour is how a backend server treats the requests that it runs.
type behaviour int32

const (
	healthy behaviour = iota
	// failing reports failure for most requests, at once.
	failing
	// hanging answers nothing until the connection is closed.
	hanging
	// dropping does the work and closes the connection without an answer.
	dropping
	// truncating ends its answers early.
	truncating
	// trailing sends bytes after its answers that belong to no request.
	trailing
	// unframed ends its answers with the connection.
	unframed
	// slow takes five times as long.
	slow
	behaviourCount
)

const (
	slotsPerServer = 4
	// maxQueued is how many requests wait for a slot before more are refused.
	maxQueued = 16
	// failingPercent is how many requests of a hundred a failing backend server fails.
	failingPercent = 90
	meanWorkTime   = 30 * time.Millisecond
)

// backendServer is a backend server inside the process of the soak, behind a relay.
type backendServer struct {
	roster.Server
	ledger       *ledger
	headers      gateway.Headers
	relay        *link.Relay
	toServer     *link.Direction
	fromServer   *link.Direction
	disturbances *disturbances

	behaviour atomic.Int32
	slots     chan struct{}
	queued    atomic.Int32
	server    *http.Server
	// drainStored is the Unix time in nanoseconds at which the store had taken that it is draining; 0 before.
	drainStored atomic.Int64
}

// newBackendServer starts a backend server whose relay callers of the roster connect to.
func newBackendServer(id, service, zone string, l *ledger, h gateway.Headers) (*backendServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backendServer{
		ledger: l, headers: h, slots: make(chan struct{}, slotsPerServer), disturbances: &disturbances{},
		toServer: link.NewDirection("fleet", id), fromServer: link.NewDirection(id, "fleet"),
	}
	if b.relay, err = link.NewRelay(listener.Addr().String(), b.toServer, b.fromServer); err != nil {
		return nil, err
	}
	b.Server = roster.Server{
		ID: id, Service: service, Zone: zone, Slots: slotsPerServer, Address: b.relay.Address(), Incarnation: time.Now().UnixMilli(),
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// crash ends the backend server with all its connections.
func (b *backendServer) crash() {
	_ = b.server.Close()
	b.relay.Close()
}

// signatureOf is what a backend server signs its answer to a request with.
func signatureOf(server, id string) string { return server + "." + id }

// bodyOf is the body of each answer to a request.
func bodyOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return strings.Repeat(id, 1+int(h.Sum32()%300))
}

// ServeHTTP implements http.Handler.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(b.headers.RequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(b.headers.RequestID, id)
	w.Header().Set(b.headers.Instance, b.ID)
	if want := r.Header.Get(b.headers.ExpectedInstance); want != "" && want != b.ID {
		b.reject(w, http.StatusMisdirectedRequest)
		return
	}
	b.checkArrival(r, id, string(body))
	if b.queued.Add(1) > maxQueued {
		b.queued.Add(-1)
		b.reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
		b.queued.Add(-1)
	case <-r.Context().Done():
		b.queued.Add(-1)
		return
	}
	defer func() { <-b.slots }()
	b.work(w, r, id)
}

func (b *backendServer) reject(w http.ResponseWriter, status int) {
	w.Header().Set(b.headers.NotExecuted, "1")
	w.WriteHeader(status)
}

// work runs a request and answers as the behaviour says.
func (b *backendServer) work(w http.ResponseWriter, r *http.Request, id string) {
	current := &run{id: id, service: b.Service, server: b, began: time.Now()}
	b.ledger.recordRun(current)
	how := behaviour(b.behaviour.Load())
	if how == failing && rand.IntN(100) < failingPercent {
		b.ledger.recordRunEnd(current, http.StatusInternalServerError, false)
		b.sign(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if isClosed := b.simulateWork(r.Context(), how); isClosed {
		b.ledger.recordRunEnd(current, 0, true)
		return
	}
	isComplete := how == healthy || how == slow || how == failing || how == trailing || how == unframed
	status := 0
	if isComplete {
		status = http.StatusOK
	}
	b.ledger.recordRunEnd(current, status, false)
	b.answer(w, id, how)
}

// simulateWork takes the time that the work takes. It reports whether the connection was closed meanwhile.
func (b *backendServer) simulateWork(ctx context.Context, how behaviour) (isClosed bool) {
	duration := time.Duration(float64(meanWorkTime) * (0.3 + rand.ExpFloat64()))
	switch how {
	case slow:
		duration *= 5
	case hanging:
		<-ctx.Done()
		return true
	}
	select {
	case <-time.After(duration):
		return false
	case <-ctx.Done():
		return true
	}
}

func (b *backendServer) sign(w http.ResponseWriter, id string) {
	w.Header().Set(b.headers.Signature, signatureOf(b.ID, id))
}

func (b *backendServer) answer(w http.ResponseWriter, id string, how behaviour) {
	b.sign(w, id)
	body := bodyOf(id)
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", b.headers.RequestID, id, b.headers.Signature, signatureOf(b.ID, id))
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch how {
	case dropping:
		panic(http.ErrAbortHandler)
	case truncating:
		b.sendRaw(w, header+length+body[:len(body)-1])
	case trailing:
		b.sendRaw(w, header+length+body+"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")
	case unframed:
		b.sendRaw(w, header+"\r\n"+body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// A write that fails shows at the caller.
		_, _ = io.WriteString(w, body)
	}
}

// sendRaw sends bytes as they are and closes the connection.
func (b *backendServer) sendRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	// A write that fails shows at the caller.
	_, _ = io.WriteString(conn, raw)
}
