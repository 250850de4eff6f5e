package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/platform"
)

// consumer sends requests on a connection that it keeps.
type consumer struct {
	record  *recorder
	headers gateway.Headers
	// address is that of the machine that the consumer uses, host that of its requests.
	address, host string
	conn          net.Conn
	reader        *bufio.Reader
	// isKept is set once the connection has carried an answer.
	isKept bool
}

func newConsumer(r *recorder, address string) *consumer {
	return &consumer{record: r, headers: platform.Headers(), address: address, host: defaultHost}
}

// result is what became of a request.
type result struct {
	id string
	// status is that of the answer, 0 if there is none.
	status int
	// isServed is set for a whole success with the signature of a backend server.
	isServed bool
	// wasKept is set if the connection had carried an answer before.
	wasKept bool
	err     error
}

// errNoConnection means that the machine accepted no connection.
var errNoConnection = errors.New("no connection")

// requestCount numbers the requests of all consumers.
var requestCount atomic.Int64

// defaultHost is the host of the requests.
const defaultHost = "hulo84.example"

// connectTimeout is how long consumers allow for a new connection.
const connectTimeout = time.Second

// send sends a request with a body of the given size and waits for the answer until the time budget has passed.
func (c *consumer) send(method, path string, bodyBytes int, budget time.Duration) result {
	out := result{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1))}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
		if err != nil {
			out.err = errors.Join(errNoConnection, err)
			c.record.logf("request %s (%s) to %s: no connection", out.id, path, c.address)
			return out
		}
		c.conn, c.reader, c.isKept = conn, bufio.NewReader(conn), false
	}
	out.wasKept = c.isKept
	c.record.logf("request %s (%s, body %d bytes) is sent to %s", out.id, path, bodyBytes, c.address)
	_ = c.conn.SetDeadline(time.Now().Add(budget))
	answer, err := c.exchange(method, path, out.id, bodyBytes, budget)
	if err != nil {
		out.err = err
		c.record.logf("request %s: no answer: %v", out.id, err)
		c.close()
		return out
	}
	out.status = answer.StatusCode
	out.isServed = answer.StatusCode == http.StatusOK && answer.Header.Get(c.headers.Signature) != ""
	c.record.logf("request %s: status %d", out.id, out.status)
	c.isKept = true
	if answer.Close {
		c.close()
	}
	return out
}

// exchange writes the request and reads the whole answer.
func (c *consumer) exchange(method, path, id string, bodyBytes int, budget time.Duration) (*http.Response, error) {
	w := bufio.NewWriterSize(c.conn, 64<<10)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, c.host, c.headers.RequestID, id,
		c.headers.DeadlineMS, budget.Milliseconds())
	if bodyBytes > 0 {
		fmt.Fprintf(w, "Content-Length: %d\r\n", bodyBytes)
	}
	_, _ = w.WriteString("\r\n")
	var block [4096]byte
	for left := bodyBytes; left > 0; left -= len(block) {
		_, _ = w.Write(block[:min(left, len(block))])
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer, err
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
