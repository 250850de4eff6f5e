// Package bench measures what an entry adds to a request, and how many requests it carries for each core. It sends
// plain HTTP/1.1 over kept connections, so that the load tool costs little beside the entry. Errors of single requests
// are counted and do not end a run.
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

// errNotDone is an answer that is no success.
var errNotDone = errors.New("the answer is no success")

// reasonNoAnswer counts requests without an answer.
const reasonNoAnswer = "no-answer"

// connection is one connection to the target. It is opened at the first request and again after an error.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	out     []byte
	// reason is that of the last answer.
	reason string
}

func (w *connection) open() error {
	if w.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", w.address, dialTimeout)
	if err != nil {
		return err
	}
	w.conn, w.reader = conn, bufio.NewReaderSize(conn, bufferBytes)
	return nil
}

func (w *connection) close() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}

// roundTrip sends one request and reads its whole answer.
func (w *connection) roundTrip(r request) error {
	if err := w.open(); err != nil {
		return err
	}
	err := w.exchange(r)
	if err != nil && !errors.Is(err, errNotDone) {
		w.reason = reasonNoAnswer
		w.close()
	}
	return err
}

func (w *connection) exchange(r request) error {
	if err := w.conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	w.out = r.append(w.out[:0], w.address)
	if _, err := w.conn.Write(w.out); err != nil {
		return err
	}
	resp, err := http.ReadResponse(w.reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	reported := resp.Header.Get(header.Outcome)
	w.reason = resp.Header.Get(header.Reason)
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
