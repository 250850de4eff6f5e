package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	strayService  = "citas"
	strayRequests = 3000
	strayPause    = 8 * time.Millisecond
	strayServers  = 18
	strayWork     = 300 * time.Millisecond
	faultyServers = 10
	// The backends are faulty for strayFor in each strayPeriod.
	strayFor    = 5 * time.Second
	strayPeriod = 8 * time.Second
	// strayEvery is how many answers of faulty backends there are for each one that additional bytes follow.
	strayEvery     = 33
	strayDeadline  = 4 * time.Second
	strayBodyBytes = 4000
	// strayBytes are what a faulty backend sends after a complete answer. They belong to no request.
	strayBytes = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nbad request\n"
)

// booking is a request that is not idempotent, and what was seen of it.
type booking struct {
	id        string
	status    int
	signature string
	body      string
	err       error
	ran       int
	// followsStray is set if additional bytes were sent before its answer.
	followsStray bool
}

// strayAnswers sends requests to backends half of which send additional bytes after a few of their answers. The bytes are late: they
// come where the next answer is expected.
func strayAnswers(r *rig) (bool, error) {
	err := r.putConfig(1, []routeRow{{"r-1", prefix, "unsafe", strayService, "4000ms"}}, nil, strayService)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent := map[string]*booking{}
	hasPending, answers := map[net.Conn]bool{}, 0
	for n := range strayServers {
		isFaulty := r.isTroubled && n < faultyServers
		serve := func(b *backend, c net.Conn, _ *bufio.Reader, q *http.Request) bool {
			id := q.Header.Get("Primroseladder-Request-Id")
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return false
			}
			mu.Lock()
			isStrayDue := hasPending[c]
			isNow := isFaulty && time.Since(r.began)%strayPeriod < strayFor
			if isNow {
				answers++
			}
			hasPending[c] = isNow && answers%strayEvery == 0
			if k := sent[id]; k != nil {
				k.ran++
				k.followsStray = k.followsStray || isStrayDue
			}
			mu.Unlock()
			if isStrayDue {
				r.note("%s sends additional bytes after its last answer on the connection, then runs request %s", b.id, id)
				if _, err := io.WriteString(c, strayBytes); err != nil {
					return false
				}
			}
			time.Sleep(strayWork)
			return b.reply(c, q, http.StatusOK, true, "booked "+id)
		}
		if _, err := r.startBackend(fmt.Sprintf("i-%d", n), strayService, "zona-mixco", 0, serve); err != nil {
			return false, err
		}
	}
	var gates []*gate
	for n := range 2 {
		g, err := r.startGate(n+1, "zona-mixco", map[string]string{"zona-mixco": "central"}, nil)
		if err != nil {
			return false, err
		}
		gates = append(gates, g)
	}
	// The machines are in touch for longer than `Contact`.
	time.Sleep(4 * time.Second)
	var wait sync.WaitGroup
	for n := range strayRequests {
		k := &booking{id: fmt.Sprintf("book-%d", n)}
		mu.Lock()
		sent[k.id] = k
		mu.Unlock()
		wait.Go(func() { sendBooking(gates[n%len(gates)].front(), k) })
		time.Sleep(strayPause)
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	denied, served := 0, 0
	for n := range strayRequests {
		k := sent[fmt.Sprintf("book-%d", n)]
		r.note("request %s was answered with %d, signature %q, and ran %d times", k.id, k.status, k.signature, k.ran)
		isOwn := k.err == nil && k.signature == ""
		if k.status == http.StatusOK && k.signature != "" {
			served++
		}
		if isOwn && k.status >= 300 && k.status < 500 && k.status != 408 && k.status != 421 && k.status != 429 {
			denied++
			r.note("request %s is answered with %d %q without a signature; it ran %d times; additional bytes came before its answer: %t",
				k.id, k.status, k.body, k.ran, k.followsStray)
		}
	}
	allowed := 5 + strayRequests/500
	r.note("%d requests, %d served, %d ended with a 4xx without a backend's signature, %d are allowed", strayRequests, served, denied, allowed)
	return denied > allowed, nil
}

// sendBooking sends a request on a connection of its own and waits for the answer.
func sendBooking(to string, k *booking) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		k.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(strayDeadline))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nPrimroseladder-Request-Id: %s\r\nPrimroseladder-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		prefix, k.id, hostName, k.id, strayDeadline.Milliseconds(), strayBodyBytes)
	if _, k.err = io.WriteString(c, head+strings.Repeat("b", strayBodyBytes)); k.err != nil {
		return
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		k.err = err
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	k.err, k.status, k.signature, k.body = err, answer.StatusCode, answer.Header.Get("Primroseladder-Response-Signature"), string(body)
}
