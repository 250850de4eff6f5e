package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes    = 240_000
	uploadRate     = 60_000
	uploadCount    = 6
	uploadDeadline = 10 * time.Second
	uploadGrace    = 6 * time.Second
	// stopAfter is when the machine gets SIGTERM, after the first upload was sent.
	stopAfter = 500 * time.Millisecond
	uploads   = "archivo"
	prefix    = "/puka111/"
)

// upload is one upload and what was seen of it.
type upload struct {
	id string
	// sent is when the consumer had sent the last byte, workBegan when a backend began to work on it, and ended when the consumer had
	// its answer or the end of the connection.
	sent, workBegan, ended time.Time
	status                 int
	signature              string
	err                    error
}

// slowUpload sends uploads to a machine that is about to be stopped, and whose backends read slowly.
func slowUpload(r *rig) (bool, error) {
	err := r.putConfig(1, []routeRow{{"r-1", prefix, "upload", uploads, "10000ms"}}, nil, uploads)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent := map[string]*upload{}
	serve := func(b *backend, c net.Conn, _ *bufio.Reader, q *http.Request) bool {
		id := q.Header.Get("Primroseladder-Request-Id")
		r.note("%s begins to work on request %s, which has %d bytes", b.id, id, q.ContentLength)
		mu.Lock()
		if u := sent[id]; u != nil {
			u.workBegan = time.Now()
		}
		mu.Unlock()
		taken, err := r.take(q.Body)
		if err != nil {
			r.note("%s: request %s breaks off after %d bytes: %s", b.id, id, taken, describe(err))
			return false
		}
		r.note("%s has run request %s, %d bytes", b.id, id, taken)
		return b.reply(c, q, http.StatusOK, true, "stored "+id)
	}
	for n := range 4 {
		if _, err := r.startBackend(fmt.Sprintf("i-%d", n), uploads, "central-a", 0, serve); err != nil {
			return false, err
		}
	}
	zones := map[string]string{"central-a": "guatemala-central"}
	first, err := r.startGate(1, "central-a", zones, nil)
	if err != nil {
		return false, err
	}
	if _, err := r.startGate(2, "central-a", zones, nil); err != nil {
		return false, err
	}
	// The machines are in touch for longer than `Contact`.
	time.Sleep(4 * time.Second)
	var wait sync.WaitGroup
	for n := range uploadCount {
		u := &upload{id: fmt.Sprintf("upload-%d", n)}
		mu.Lock()
		sent[u.id] = u
		mu.Unlock()
		wait.Go(func() { r.sendUpload(first.front(), u) })
	}
	time.Sleep(stopAfter)
	stopped := time.Now()
	if err := first.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	wait.Wait()
	isBroken := false
	mu.Lock()
	defer mu.Unlock()
	for n := range uploadCount {
		isBroken = r.judge(sent[fmt.Sprintf("upload-%d", n)], stopped) || isBroken
	}
	return isBroken, nil
}

// take reads a body as a backend that reads slowly. Without the disruption it reads at once, and works for as long afterwards.
func (r *rig) take(body io.Reader) (taken int, err error) {
	part := make([]byte, 4096)
	for {
		n, err := body.Read(part)
		taken += n
		if errors.Is(err, io.EOF) {
			if !r.isTroubled {
				time.Sleep(uploadBytes * time.Second / uploadRate)
			}
			return taken, nil
		}
		if err != nil {
			return taken, err
		}
		if r.isTroubled {
			time.Sleep(time.Duration(n) * time.Second / uploadRate)
		}
	}
}

// sendUpload sends an upload whole and waits for its answer.
func (r *rig) sendUpload(to string, u *upload) {
	defer func() { u.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		u.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(uploadDeadline))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nPrimroseladder-Request-Id: %s\r\nPrimroseladder-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		prefix, u.id, hostName, u.id, uploadDeadline.Milliseconds(), uploadBytes)
	if _, u.err = io.WriteString(c, head+strings.Repeat("u", uploadBytes)); u.err != nil {
		return
	}
	u.sent = time.Now()
	r.note("request %s is sent whole to %s", u.id, to)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		u.err = err
		r.note("request %s ends without an answer: %s", u.id, describe(err))
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	u.err, u.status, u.signature = err, answer.StatusCode, answer.Header.Get("Primroseladder-Response-Signature")
	r.note("request %s is answered with %d, signature %q, body %q", u.id, u.status, u.signature, body)
}

// judge reports whether an upload breaks the rule LOST.
func (r *rig) judge(u *upload, stopped time.Time) bool {
	switch {
	case u.sent.IsZero() || u.workBegan.IsZero():
		r.note("%s: does not count, it was not passed on", u.id)
	case u.err == nil && u.signature != "":
		r.note("%s: kept, its backend's answer came", u.id)
	case u.ended.After(stopped.Add(uploadGrace + time.Second)):
		r.note("%s: does not count, it ended later than 1 s after the grace time", u.id)
	case !u.ended.Before(stopped.Add(uploadGrace * 5 / 6)):
		r.note("%s: does not count, its backend was still at work in the last sixth of the grace time", u.id)
	case u.ended.Sub(u.sent) >= uploadDeadline:
		r.note("%s: does not count, its time budget was reached", u.id)
	default:
		r.note("%s: LOST, broken off %.1f s after it was sent, %.1f s after SIGTERM, while its backend was at work", u.id,
			u.ended.Sub(u.sent).Seconds(), u.ended.Sub(stopped).Seconds())
		return true
	}
	return false
}
