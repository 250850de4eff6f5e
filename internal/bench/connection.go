// Package bench measures the latency that an entry adds to a request, and how many requests it handles for each core. It
// sends plain HTTP/1.1 over persistent connections, so that the load generator uses little processor time compared with
// the entry. Errors of single requests are counted and do not end a run.
package bench

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 5 * time.Second
	bufferBytes    = 8 << 10
)

// errNotDone is returned for an answer other than a success. The connection stays usable.
var errNotDone = errors.New("the answer reports no success")

// reasonNoAnswer is the reason under which requests without an answer are counted.
const reasonNoAnswer = "no-answer"

// connection is one connection to the target. It is opened by the first request, and by the next one after an error.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	out     []byte
	// reason is the value of header.Reason in the last answer, or reasonNoAnswer.
	reason string
}

func (c *connection) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReaderSize(conn, bufferBytes)
	return nil
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// roundTrip sends one request and reads its whole answer. It closes the connection after any error but errNotDone.
func (c *connection) roundTrip(r request) error {
	if err := c.open(); err != nil {
		return err
	}
	err := c.exchange(r)
	if err != nil && !errors.Is(err, errNotDone) {
		c.reason = reasonNoAnswer
		c.close()
	}
	return err
}

func (c *connection) exchange(r request) error {
	if err := c.conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	c.out = r.append(c.out[:0], c.address)
	if _, err := c.conn.Write(c.out); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	reported := resp.Header.Get(header.Outcome)
	c.reason = resp.Header.Get(header.Reason)
	if resp.StatusCode != http.StatusOK || (reported != "" && reported != string(outcome.Done)) {
		return errNotDone
	}
	return nil
}

// request is one request of a run.
type request struct {
	path   string
	number int
	// key is empty for an idempotent request.
	key string
}

func (r request) append(out []byte, host string) []byte {
	method := http.MethodGet
	if r.key != "" {
		method = http.MethodPost
	}
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, r.path...)
	out = append(out, "?n="...)
	out = strconv.AppendInt(out, int64(r.number), 10)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, host...)
	out = append(out, "\r\n"...)
	if r.key == "" {
		return append(out, "\r\n"...)
	}
	out = append(out, header.IdempotencyKey+": "...)
	out = append(out, r.key...)
	out = append(out, "\r\n"+header.SendNumber+": 1\r\nContent-Length: 4\r\n\r\nwork"...)
	return out
}
