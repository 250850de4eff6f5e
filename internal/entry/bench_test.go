package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/caller"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/entrypeer"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/run"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// benchBackends is the number of backend servers of the benchmark's service.
const benchBackends = 18

// newBenchHandler returns the callers' handler of an entry whose backend servers answer immediately.
func newBenchHandler(b *testing.B) http.Handler {
	address := startBackend(b)
	holder := snapshot.NewHolder()
	e := &catalogue.Entry{Service: "bookings", Owner: "bench", Routes: []catalogue.Route{{Prefix: "/bookings"}}}
	e.ApplyDefaults()
	vms := []fleet.VM{{Name: "entry-0", Role: fleet.RoleEntry, State: fleet.StateLive, Region: "perth", Zone: "perth-0"}}
	for i := range benchBackends {
		vms = append(vms, fleet.VM{
			Name: "backend-" + strconv.Itoa(i), Role: fleet.RoleBackendServer, State: fleet.StateLive, Region: "perth",
			Zone: "perth-0", Service: e.Service, Address: address,
		})
	}
	holder.ApplyView(fleet.NewView(1, vms))
	holder.ApplyCatalogue(snapshot.CatalogueUpdate{Revision: 1, Complete: true, Entries: []*catalogue.Entry{e}})
	s := DefaultSettings()
	s.VM, s.Region, s.Zone = "entry-0", "perth", "perth-0"
	peers := entrypeer.NewClient()
	b.Cleanup(peers.Close)
	options := &run.HealthOptions{Self: health.Observer{VM: s.VM, Zone: s.Zone}}
	runner := run.NewRunner(s.Region, options, holder, admission.NewGate(s.MaxRequests),
		poison.NewRegistry(poison.DefaultWindow), entrypeer.NewCrashNotifier(s.VM, holder, peers))
	memory := once.NewMemory(s.MemoryWindow.Std(), s.MemoryKeys, newHomeTracker(s, holder))
	guard := once.NewGuard(s.VM, s.Region, holder, memory, peers)
	return caller.NewHandler(NewServer(s, holder, guard, runner, peers), holder)
}

// startBackend starts a backend server that sends a fixed answer to each request on persistent connections, at minimal cost.
// It returns its address.
func startBackend(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	return listener.Addr().String()
}

// answerAll answers the requests on a connection until it fails.
func answerAll(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n" + header.RequestID + ": " +
			request.Header.Get(header.RequestID) + "\r\n\r\nhello"
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// serveOnce sends a request to the handler and requires status 200.
func serveOnce(b *testing.B, handler http.Handler, request *http.Request) {
	request.Header.Set("User-Agent", "bench")
	request.Header.Set("Accept", "*/*")
	request.Header.Set(header.Organisation, "parish-12")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, request)
	if w.Code != http.StatusOK {
		b.Fatalf("status %d: %s", w.Code, w.Body)
	}
}

// BenchmarkServeGet measures an idempotent request through the whole entry, without the connection to the caller.
func BenchmarkServeGet(b *testing.B) {
	handler := newBenchHandler(b)
	b.ReportAllocs()
	for b.Loop() {
		serveOnce(b, handler, httptest.NewRequest(http.MethodGet, "/bookings/visits?n=1", nil))
	}
}

// BenchmarkServePost measures a non-idempotent request with an idempotency key whose home is this entry.
func BenchmarkServePost(b *testing.B) {
	handler := newBenchHandler(b)
	var n atomic.Int64
	prefix := strconv.FormatInt(time.Now().UnixNano(), 36)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, "/bookings/visits", strings.NewReader("work"))
		request.Header.Set(header.IdempotencyKey, prefix+"-"+strconv.FormatInt(n.Add(1), 10))
		request.Header.Set(header.SendNumber, "1")
		serveOnce(b, handler, request)
	}
}
