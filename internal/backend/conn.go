// Package backend talks HTTP/1.1 to backend servers. It knows for each failed attempt whether the backend server may
// have started the work: an attempt counts as started as soon as one byte of the request may have been written.
//
// An answer is taken only where its end can be told: its body has a length or is chunked. A connection is reused only
// after a whole answer that names the request which was sent on it, and on a reused connection only such answers are
// taken. Backend servers that do not return the request id work too, at the cost of a new connection for each request.
// net/http's Transport is not used because it sends some requests a second time by itself.
package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Request is one request to a backend server.
type Request struct {
	ID     string
	Method string
	// Target is the request target: path and query.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// MaxAnswerBytes bounds the body of the answer.
	MaxAnswerBytes int64
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Errors of an attempt. They stand inside an AttemptError.
var (
	ErrAnswerTooLarge  = errors.New("the answer is longer than the limit")
	ErrAnswerTruncated = errors.New("the answer ended before its declared length")
	ErrUnframedAnswer  = errors.New("the answer has neither a length nor chunks, so that its end cannot be told")
	ErrBadStatus       = errors.New("the answer has no final status")
	ErrWrongRequestID  = errors.New("the answer does not name the request")
	ErrTooManyConns    = errors.New("the connection limit is reached")
)

const (
	bufferBytes = 8 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
	// maxMismatched bounds the answers to other requests that are passed over before the own one.
	maxMismatched = 2
	// advertisedIdlePercent is the part of an announced idle time in which a connection is used again.
	advertisedIdlePercent = 70
)

type conn struct {
	net.Conn
	options   *Options
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// maxIdle is how long the connection may stay unused.
	maxIdle time.Duration
	// isReused is set once the connection has carried an answer.
	isReused bool
	// bytesWritten counts the bytes that left since the last request began.
	bytesWritten int
	// readBudget is how many bytes may still be read for the current answer.
	readBudget int64
}

func newConn(c net.Conn, o *Options) *conn {
	wrapped := &conn{Conn: c, options: o, maxIdle: o.MaxIdle}
	wrapped.reader = bufio.NewReaderSize(wrapped, bufferBytes)
	wrapped.writer = bufio.NewWriterSize(wrapped, bufferBytes)
	return wrapped
}

// Read reads no more than the current answer may have.
func (c *conn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, ErrAnswerTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.readBudget)])
	c.readBudget -= int64(n)
	return n, err
}

// Write counts the bytes that left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += n
	return n, err
}

// isUsable reports whether an idle connection is still open and silent.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = n < 0 && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && usable
}

// idleTime is how long the connection has been unused; 0 for a new one.
func (c *conn) idleTime() time.Duration {
	if !c.isReused {
		return 0
	}
	return time.Since(c.idleSince)
}

// write sends the request. It reports whether any byte may have left.
func (c *conn) write(r *Request) (started bool, err error) {
	c.bytesWritten = 0
	w := c.writer
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(r.Body)))
		_, _ = w.WriteString("\r\n")
	}
	// The buffered writer keeps its first error for Flush.
	_ = r.Header.WriteSubset(w, writtenHeaders)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	err = w.Flush()
	return c.bytesWritten > 0, err
}

// writtenHeaders are written by write itself.
var writtenHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// readAnswer takes the whole answer. It reports whether the connection may be reused.
func (c *conn) readAnswer(r *Request) (*Answer, bool, error) {
	for skipped := 0; ; skipped++ {
		answer, reusable, err := c.readNextAnswer(r)
		isMismatched := err == nil && answer == nil
		if !isMismatched {
			// Whoever sends answers to other requests may send more of them.
			return answer, reusable && skipped == 0, err
		}
		if skipped >= maxMismatched {
			return nil, false, ErrWrongRequestID
		}
	}
}

// readNextAnswer takes one whole answer. It returns no answer and no error after it has passed over that of another request.
func (c *conn) readNextAnswer(r *Request) (*Answer, bool, error) {
	resp, err := c.readHeader(r)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	id := resp.Header.Get(c.options.RequestIDHeader)
	isMismatched := id != r.ID && (id != "" || (c.isReused && !c.acceptsMissingID(resp.StatusCode)))
	if isMismatched && (!c.options.SkipMismatched || id == "") {
		return nil, false, ErrWrongRequestID
	}
	if resp.ContentLength > r.MaxAnswerBytes && r.Method != http.MethodHead {
		return nil, false, ErrAnswerTooLarge
	}
	isUnframed := resp.ContentLength < 0 && !isChunked(resp) && hasBody(r.Method, resp.StatusCode)
	if isUnframed && (isMismatched || !c.options.AllowUnframed) {
		return nil, false, ErrUnframedAnswer
	}
	// Chunks have a frame of their own, so that more is read than the body holds.
	c.readBudget = 2*min(r.MaxAnswerBytes, math.MaxInt64/4) + maxHeaderBytes
	body, err := readBody(resp, r.MaxAnswerBytes)
	if err != nil {
		return nil, false, err
	}
	if isMismatched {
		return nil, false, nil
	}
	c.isReused = true
	c.maxIdle = min(c.options.MaxIdle, advertisedIdleTime(resp.Header))
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return answer, !resp.Close && !isUnframed && id != "" && c.reader.Buffered() == 0, nil
}

// acceptsMissingID reports whether an answer without request id is taken on a reused connection. Where answers to other
// requests are told by their id, a failure without one is the backend server's own word about the last request.
func (c *conn) acceptsMissingID(status int) bool {
	return c.options.SkipMismatched && status >= http.StatusBadRequest
}

// advertisedIdleTime returns how long the backend server keeps an unused connection, with a margin for the way of the next
// request, so that none is sent on a connection that is being closed.
func advertisedIdleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second * advertisedIdlePercent / 100
		}
	}
	return math.MaxInt64
}

// readHeader takes the header of the final answer.
func (c *conn) readHeader(r *Request) (*http.Response, error) {
	for range maxInformational {
		c.readBudget = maxHeaderBytes
		// http.ReadResponse needs only the method, to know whether a body follows.
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if isFinalStatus(resp.StatusCode) {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || !isInformational(resp.StatusCode) {
			return nil, ErrBadStatus
		}
	}
	return nil, ErrBadStatus
}

func isInformational(status int) bool { return status >= 100 && status < 200 }

func isFinalStatus(status int) bool { return status >= 200 && status < 1000 }

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func readBody(resp *http.Response, limit int64) ([]byte, error) {
	var body bytes.Buffer
	if resp.ContentLength > 0 {
		body.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	limit = min(limit, math.MaxInt64/4)
	n, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, ErrAnswerTruncated
	}
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, ErrAnswerTooLarge
	}
	return body.Bytes(), nil
}
