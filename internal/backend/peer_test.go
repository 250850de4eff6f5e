package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/header"
)

// exchangeTimeout ends an exchange that blocks.
const exchangeTimeout = 2 * time.Second

// rawPeer is a backend server that answers each request with the raw bytes returned by its answer function, and closes the
// connection if the function requests it.
type rawPeer struct {
	listener net.Listener
	// answer is called with the index of the request on its connection, from 0.
	answer func(r *http.Request, body string, nth int) (raw string, isLast bool)
}

func newRawPeer(tb testing.TB, answer func(*http.Request, string, int) (string, bool)) *rawPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	p := &rawPeer{listener: listener, answer: answer}
	tb.Cleanup(func() { _ = listener.Close() })
	go p.accept()
	return p
}

func (p *rawPeer) address() string { return p.listener.Addr().String() }

func (p *rawPeer) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *rawPeer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for nth := 0; ; nth++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		raw, isLast := p.answer(req, string(body), nth)
		if _, err := io.WriteString(conn, raw); err != nil || isLast {
			return
		}
	}
}

// newResettingPeer accepts one connection, sends raw after the request has been received, and resets the connection.
func newResettingPeer(tb testing.TB, raw string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, raw); err != nil {
			return
		}
		// With a linger time of 0 the kernel sends a reset on close; the pause lets the bytes arrive first.
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}()
	return listener.Addr().String()
}

// okAnswer returns a well-formed answer to the request with the given ID.
func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", header.RequestID, id, len(body), body)
}

func newRequest(id, method, body string) *Request {
	return &Request{
		ID: id, Method: method, Target: "/work?id=" + id, Host: "test", Body: []byte(body), MaxAnswerBytes: 4096,
		Header: http.Header{header.RequestID: {id}},
	}
}

// chunked returns the body in chunks of n bytes, without the terminating chunk if isCut is set.
func chunked(body string, n int, isCut bool) string {
	var out strings.Builder
	for len(body) > 0 {
		piece := body[:min(n, len(body))]
		body = body[len(piece):]
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(piece), piece)
	}
	if !isCut {
		out.WriteString("0\r\n\r\n")
	}
	return out.String()
}
