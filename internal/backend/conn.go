// Package backend is an HTTP/1.1 client with a connection pool for each backend server. For each failed attempt it reports
// whether the backend server may have started to run the request. This is assumed as soon as one byte of the request may
// have been written.
//
// An answer is accepted only if its end can be determined, by a Content-Length or by chunked encoding, so that a truncated
// answer is never taken for a whole one. A connection is reused only after a whole answer that carries the ID of the
// request sent on it, and on a reused connection only such answers are accepted; otherwise a late answer to an earlier
// request could be taken for the answer to the current one. Backend servers that do not return the request ID work too, at
// the cost of a new connection for each request. Options relax these rules.
//
// net/http's Transport is not used because it resends some requests on its own.
package backend

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/httpstatus"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/tcpdial"
)

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	// Target is the request target, path and query.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// MaxAnswerBytes is the maximum size of the answer's body.
	MaxAnswerBytes int64
	// BeforeWrite, if set, is called right before the first byte is written, with a connection at hand. If it returns an error,
	// nothing is written and the attempt fails with it.
	BeforeWrite func() error
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   Body
}

// Causes of a failed attempt. Pool.Do returns them wrapped in an AttemptError.
var (
	ErrAnswerTooLarge  = errors.New("answer exceeds the size limit")
	ErrAnswerTruncated = errors.New("answer ended before its declared length or last chunk")
	ErrUnframedAnswer  = errors.New("answer has neither a content length nor chunked encoding, its end cannot be determined")
	ErrBadStatus       = errors.New("answer has no valid final status")
	ErrWrongRequestID  = errors.New("answer does not carry the ID of the request")
	ErrTooManyConns    = errors.New("connection limit of the pool reached")
)

const (
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 8 << 10
	// maxHeaderBytes is the maximum size of an answer's header.
	maxHeaderBytes = 64 << 10
	// maxInformational is the maximum number of header blocks that are read for one answer: 1xx answers and the final one.
	maxInformational = 8
	// maxMismatched is the maximum number of answers to other requests that are skipped before the expected one.
	maxMismatched = 2
	// advertisedIdlePercent is the share of the advertised idle timeout during which an idle connection is reused.
	advertisedIdlePercent = 70
)

// conn is a pooled connection that carries one request at a time.
type conn struct {
	net.Conn
	options   *Options
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// maxIdle is the idle time after which the connection is not reused.
	maxIdle time.Duration
	// isReused is set once the connection has carried an answer.
	isReused bool
	// bytesWritten counts the bytes of the current request that were passed to the kernel.
	bytesWritten int
	// readBudget is the number of bytes that may still be read for the current answer.
	readBudget int64
	// isReadingHeader is set while a header is read, and headerBytes counts what was read for it.
	isReadingHeader bool
	headerBytes     int64
	// headerMemory is the memory that the current header has taken from Options.Memory.
	headerMemory int64
}

func newConn(c net.Conn, o *Options) *conn {
	wrapped := &conn{Conn: c, options: o, maxIdle: o.MaxIdle}
	wrapped.reader = bufio.NewReaderSize(wrapped, bufferBytes)
	wrapped.writer = bufio.NewWriterSize(wrapped, bufferBytes)
	return wrapped
}

// extendUserTimeout makes the connection wait for its peer for at least the given time, until the function that it returns is called.
func (c *conn) extendUserTimeout(timeout time.Duration) (restore func()) {
	usual := c.options.UserTimeout
	if usual == 0 || timeout <= usual || tcpdial.SetUserTimeout(c.Conn, timeout) != nil {
		return func() {}
	}
	// A failure leaves the longer time.
	return func() { _ = tcpdial.SetUserTimeout(c.Conn, usual) }
}

// Read reads from the connection. It fails with ErrAnswerTooLarge once the read budget is used up.
func (c *conn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, ErrAnswerTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.readBudget)])
	c.readBudget -= int64(n)
	if c.isReadingHeader && !c.takeHeaderMemory(int64(n)) {
		return 0, membudget.ErrExhausted
	}
	return n, err
}

// headerMemoryFactor is the memory that a header takes as a multiple of its size: the line that is being read grows by copying.
const headerMemoryFactor = 2

// takeHeaderMemory takes the memory for n more bytes of a header, except for as many as the read buffer holds.
func (c *conn) takeHeaderMemory(n int64) bool {
	c.headerBytes += n
	more := headerMemoryFactor*(c.headerBytes-bufferBytes) - c.headerMemory
	if more <= 0 {
		return true
	}
	if !c.options.Memory.Take(more) {
		return false
	}
	c.headerMemory += more
	return true
}

func (c *conn) releaseHeaderMemory() {
	c.options.Memory.GiveBack(c.headerMemory)
	c.headerBytes, c.headerMemory = 0, 0
}

// Write writes to the connection and counts the bytes written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += n
	return n, err
}

// isUsable reports whether an idle connection is still open and has no unread bytes. It peeks at the socket without
// blocking: end of file, an error or surplus data rule out reuse.
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

// idleTime returns how long the connection has been idle; 0 for a new one.
func (c *conn) idleTime() time.Duration {
	if !c.isReused {
		return 0
	}
	return time.Since(c.idleSince)
}

// write sends the request. It reports whether any byte of it may have reached the backend server.
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
	// bufio.Writer keeps its first error and returns it from Flush.
	_ = r.Header.WriteSubset(w, writtenHeaders)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	err = w.Flush()
	return c.bytesWritten > 0, err
}

// writtenHeaders are the headers that write sets itself or never sends.
var writtenHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// readAnswer reads the whole answer to the request, after any mismatched answers that are skipped. It reports whether the
// connection can be reused.
func (c *conn) readAnswer(r *Request) (*Answer, bool, error) {
	for skipped := 0; ; skipped++ {
		answer, reusable, err := c.readNextAnswer(r)
		isMismatched := err == nil && answer == nil
		if !isMismatched {
			// A connection that carried mismatched answers may carry more of them.
			return answer, reusable && skipped == 0, err
		}
		if skipped >= maxMismatched {
			return nil, false, ErrWrongRequestID
		}
	}
}

// readNextAnswer reads one whole answer. It returns a nil answer and a nil error if it skipped an answer to another request.
func (c *conn) readNextAnswer(r *Request) (*Answer, bool, error) {
	defer c.releaseHeaderMemory()
	resp, err := c.readHeader(r)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	id := resp.Header.Get(c.options.RequestIDHeader)
	// An answer without an ID is certainly that of the request only if it is the first one on its connection.
	isMismatched := id != r.ID && (id != "" || c.isReused)
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
	// The budget exceeds the body's limit because chunked encoding adds framing bytes.
	c.readBudget = 2*min(r.MaxAnswerBytes, math.MaxInt64/4) + maxHeaderBytes
	body, err := readBody(resp, r.MaxAnswerBytes, c.options.Memory)
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

// advertisedIdleTime returns the idle timeout in the Keep-Alive header, less a margin, so that no request is sent on a
// connection that the backend server is closing. Without the header it returns the maximum duration.
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

// readHeader reads the header of the final answer and skips 1xx answers.
func (c *conn) readHeader(r *Request) (*http.Response, error) {
	c.isReadingHeader = true
	defer func() { c.isReadingHeader = false }()
	for range maxInformational {
		c.readBudget = maxHeaderBytes
		c.releaseHeaderMemory()
		line, err := c.reader.Peek(httpstatus.LineLength)
		switch {
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case !httpstatus.IsLine(line):
			return nil, ErrBadStatus
		}
		// http.ReadResponse uses only the method, to determine whether a body follows.
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if httpstatus.IsFinal(resp.StatusCode) {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || !isInformational(resp.StatusCode) {
			return nil, ErrBadStatus
		}
	}
	return nil, ErrBadStatus
}

func isInformational(status int) bool { return status >= 100 && status < 200 }

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

const (
	// firstChunkBytes is the size of the first part of a body of unknown length.
	firstChunkBytes = 4 << 10
	// bodyChunkBytes is the size of the further parts, and the maximum size of the first one.
	bodyChunkBytes = 64 << 10
)

// readBody reads the whole body, up to limit bytes. It takes the memory for all parts but the first from the budget while
// it reads, so that endless bodies of many backend servers do not exhaust the memory of the process.
func readBody(resp *http.Response, limit int64, budget *membudget.Budget) (Body, error) {
	size := int64(firstChunkBytes)
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength+1, bodyChunkBytes)
	}
	var full Body
	defer func() { budget.GiveBack(int64(len(full)) * bodyChunkBytes) }()
	chunk, total := make([]byte, 0, size), int64(0)
	for {
		if len(chunk) == cap(chunk) {
			if !budget.Take(bodyChunkBytes) {
				return nil, membudget.ErrExhausted
			}
			full = append(full, chunk)
			chunk = make([]byte, 0, bodyChunkBytes)
		}
		n, err := resp.Body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		total += int64(n)
		switch {
		case total > limit:
			return nil, ErrAnswerTooLarge
		case errors.Is(err, io.EOF):
			return append(slices.Clip(full), chunk), nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			return nil, ErrAnswerTruncated
		case err != nil:
			return nil, err
		}
	}
}
