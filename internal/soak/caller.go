package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/platform"
	"github.com/primroseladder/primroseladder/platform/standin"
)

const (
	callerHost = "shop.example"
	// meanPause is the mean pause of a caller before each request.
	meanPause = 100 * time.Millisecond
	// abandonPercent is the percentage of requests that callers abandon early.
	abandonPercent = 5
	// answerGrace is how long after a request's time limit the caller still waits for the answer.
	answerGrace = 2 * time.Second
)

// shortClient is for calls that take milliseconds when there is no fault.
var shortClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// caller sends requests one after another over persistent connections.
type caller struct {
	deployment *deployment
	number     int
	zone       string
	random     *rand.Rand
	http       *http.Client
	// ttlFactor is the time for which the caller uses an answer of the directory, as a multiple of the answer's TTL.
	ttlFactor int
	addresses []string
	expires   time.Time
	sent      int
}

func newCaller(d *deployment, number int) *caller {
	random := rand.New(rand.NewPCG(d.options.Seed, uint64(number)))
	return &caller{
		deployment: d, number: number, zone: zoneNames[number%len(zoneNames)], random: random, ttlFactor: 1 + 2*random.IntN(2),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanPause)))
		if time.Now().After(c.expires) {
			c.resolve()
		}
		if len(c.addresses) > 0 {
			c.send(c.deployment.byAddress[c.addresses[c.random.IntN(len(c.addresses))]])
		}
	}
}

// resolve asks up to three VMs for the addresses to use, VMs of the local zone first.
func (c *caller) resolve() {
	query := url.Values{"Name": {callerHost}, "Zone": {c.zone}, "Region": {zoneRegions[c.zone]}}
	var local, remote []*vm
	for _, v := range c.deployment.vms {
		if v.settings.Zone == c.zone {
			local = append(local, v)
		} else {
			remote = append(remote, v)
		}
	}
	c.random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	for _, v := range append(local, remote...)[:3] {
		response, err := shortClient.Get("http://" + v.settings.DirectoryListen + platform.Paths().Resolve + "?" + query.Encode())
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		addresses, ttl, err := standin.DecodeAddresses(body)
		if err != nil || len(addresses) == 0 {
			c.deployment.ledger.recordViolation("CONFIG: %s answered a caller's request for addresses with %q, which holds no valid address",
				v.Name, body)
			continue
		}
		c.addresses, c.expires = addresses, time.Now().Add(time.Duration(c.ttlFactor)*ttl)
		return
	}
}

// send sends a request to a VM.
func (c *caller) send(v *vm) {
	c.sent++
	id := fmt.Sprintf("%d-%d", c.number, c.sent)
	r := &request{id: id, method: http.MethodGet, host: callerHost, uri: "/lookups/" + id, kind: route.Idempotent, vm: v}
	if c.random.IntN(100) < 70 {
		r.method, r.uri, r.kind, r.body = http.MethodPost, "/orders/"+id, route.NonIdempotent, strings.Repeat("b", c.random.IntN(3000))
	}
	r.limit = min(routeTimeout, 700*time.Millisecond+time.Duration(c.random.Int64N(int64(2*time.Second))))
	ctx := context.Background()
	if c.random.IntN(100) < abandonPercent {
		abandoning, cancel := context.WithTimeout(ctx, time.Duration(c.random.Int64N(int64(100*time.Millisecond))))
		defer cancel()
		ctx = abandoning
	}
	// exchange records the result in the ledger.
	_, _ = c.deployment.exchange(ctx, c.http, r)
}

// exchange sends a request through a VM, checks the answer and records both. It returns the status.
func (d *deployment) exchange(ctx context.Context, client *http.Client, r *request) (int, error) {
	r.sent = time.Now()
	d.ledger.recordRequest(r)
	bounded, cancel := context.WithTimeout(ctx, r.limit+answerGrace)
	defer cancel()
	status, err := d.roundTrip(bounded, client, r)
	if ctx.Err() != nil {
		d.ledger.recordAbandoned(r)
	}
	d.ledger.recordEnd(r, status, err)
	return status, err
}

func (d *deployment) roundTrip(ctx context.Context, client *http.Client, r *request) (int, error) {
	// net/http retries requests on its own if it can rewind their bodies. NopCloser hides that this body can be rewound.
	body := io.NopCloser(strings.NewReader(r.body))
	address := r.vm.callerRelay.Address()
	if r.isDirect {
		address = r.vm.settings.CallerListen
	}
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.uri, body)
	if err != nil {
		return 0, err
	}
	out.ContentLength = int64(len(r.body))
	out.Host = r.host
	out.Header.Set(d.headers.RequestID, r.id)
	out.Header.Set(d.headers.DeadlineMS, strconv.FormatInt(r.limit.Milliseconds(), 10))
	response, err := client.Do(out)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	d.checkAnswer(r, response, string(answer))
	return response.StatusCode, nil
}

// checkAnswer checks a complete answer against those that backend servers sent.
func (d *deployment) checkAnswer(r *request, response *http.Response, body string) {
	id, signature := response.Header.Get(d.headers.RequestID), response.Header.Get(d.headers.Signature)
	isSuccess := response.StatusCode < http.StatusMultipleChoices
	if server := d.ledger.serverOf(r.id, signature); server != nil {
		server.recordPassedOn(r.vm, response.Header)
	}
	if id != r.id {
		d.ledger.recordViolation("MIXED: request %s received the answer of %q", r.id, id)
	}
	if (isSuccess || signature != "") && !d.ledger.hasAnswer(r.id, signature, response.StatusCode) {
		d.ledger.recordViolation("MIXED: request %s received status %d with signature %q, which no backend server sent", r.id, response.StatusCode, signature)
	}
	if isSuccess && body != bodyOf(r.id) {
		d.ledger.recordViolation("MIXED: request %s received a body of %d bytes, want %d", r.id, len(body), len(bodyOf(r.id)))
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		d.ledger.recordViolation("REFUSED: the answer to request %s has status 503 without Retry-After", r.id)
	}
}

// isDialError reports whether no connection was made, so that the VM cannot have read the request.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}
