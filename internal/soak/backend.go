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

// behaviour is how a backend server handles the requests that it runs.
type behaviour int32

const (
	healthy behaviour = iota
	// failing answers status 500 to most requests, without delay.
	failing
	// hanging does not answer, and works until the connection is closed.
	hanging
	// dropping does the work and closes the connection without an answer.
	dropping
	// truncating closes the connection one byte before the end of the body.
	truncating
	// trailing sends a second answer, which belongs to no request, after each answer.
	trailing
	// unframed sends answers without a length, which end when the connection is closed.
	unframed
	// slow works five times as long as a healthy server.
	slow
	behaviourCount
)

const (
	slotsPerServer = 4
	// maxQueued is how many requests may wait for a slot; more are refused.
	maxQueued = 16
	// failingPercent is the percentage of requests that a failing backend server fails.
	failingPercent = 90
	meanWorkTime   = 30 * time.Millisecond
)

// backendServer is a backend server that runs in the test process. The gateway reaches it through a relay.
type backendServer struct {
	roster.Server
	ledger       *ledger
	headers      gateway.Headers
	relay        *link.Relay
	toServer     *link.Direction
	fromServer   *link.Direction
	disturbances *disturbances
	advice       advice

	behaviour atomic.Int32
	slots     chan struct{}
	queued    atomic.Int32
	server    *http.Server
	// drainStored is the time at which the store accepted that the server drains or is removed, in Unix nanoseconds. It is
	// 0 before that.
	drainStored atomic.Int64
}

// newBackendServer starts a backend server. Its address in the roster is that of its relay.
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

// crash stops the backend server and closes all its connections.
func (b *backendServer) crash() {
	_ = b.server.Close()
	b.relay.Close()
}

// signatureOf returns the signature that a backend server puts into its answer to a request.
func signatureOf(server, id string) string { return server + "." + id }

// bodyOf returns the body that every successful answer to a request must have.
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
	if sent := b.ledger.request(id); sent != nil {
		b.checkAdvice(sent)
		b.crashBy(sent)
		if b.turnAway(w, sent.vm) {
			return
		}
	}
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

// work runs a request and answers according to the server's behaviour.
func (b *backendServer) work(w http.ResponseWriter, r *http.Request, id string) {
	current := &run{id: id, service: b.Service, server: b, began: time.Now()}
	b.ledger.recordRun(current)
	mode := behaviour(b.behaviour.Load())
	if mode == failing && rand.IntN(100) < failingPercent {
		b.ledger.recordRunEnd(current, http.StatusInternalServerError, false)
		b.sign(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if isClosed := b.simulateWork(r.Context(), mode); isClosed {
		b.ledger.recordRunEnd(current, 0, true)
		return
	}
	isComplete := mode == healthy || mode == slow || mode == failing || mode == trailing || mode == unframed
	status := 0
	if isComplete {
		status = http.StatusOK
	}
	b.ledger.recordRunEnd(current, status, false)
	b.answer(w, id, mode)
}

// simulateWork waits for the duration of the work. It reports whether the connection was closed before its end.
func (b *backendServer) simulateWork(ctx context.Context, mode behaviour) (isClosed bool) {
	duration := time.Duration(float64(meanWorkTime) * (0.3 + rand.ExpFloat64()))
	switch mode {
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
	b.say(w.Header())
}

func (b *backendServer) answer(w http.ResponseWriter, id string, mode behaviour) {
	b.sign(w, id)
	body := bodyOf(id)
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", b.headers.RequestID, id, b.headers.Signature, signatureOf(b.ID, id))
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch mode {
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
		// The caller detects a failed write as an incomplete answer.
		_, _ = io.WriteString(w, body)
	}
}

// sendRaw writes raw bytes to the connection and closes it.
func (b *backendServer) sendRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	// The caller detects a failed write as an incomplete answer.
	_, _ = io.WriteString(conn, raw)
}
