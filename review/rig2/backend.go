package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a backend that serves one request at a time on a connection.
type backend struct {
	rig               *rig
	id, service, zone string
	born              int64
	listener          net.Listener
	// serve handles one request whose body has not been read, and writes its answer. It returns false if the connection must be closed.
	serve func(b *backend, c net.Conn, in *bufio.Reader, r *http.Request) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startBackend starts a backend and registers it.
func (r *rig) startBackend(
	id, service, zone string, receiveBuffer int, serve func(b *backend, c net.Conn, in *bufio.Reader, r *http.Request) bool,
) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		rig: r, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), listener: listener, serve: serve, conns: map[net.Conn]bool{},
	}
	go b.accept(receiveBuffer)
	r.servers = append(r.servers, b)
	return b, r.putServer(b)
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) accept(receiveBuffer int) {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if t, ok := c.(*net.TCPConn); ok && receiveBuffer > 0 {
			_ = t.SetReadBuffer(receiveBuffer)
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.run(c)
	}
}

func (b *backend) run(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReaderSize(c, 4096)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if want := r.Header.Get("Primroseladder-Target-Instance"); want != "" && want != b.id {
			if !b.reply(c, r, http.StatusMisdirectedRequest, false, "") {
				return
			}
			continue
		}
		if !b.serve(b, c, in, r) {
			return
		}
	}
}

// reply writes an answer. One with a signature is that of a request that has run.
func (b *backend) reply(c net.Conn, r *http.Request, status int, hasRun bool, body string) bool {
	id := r.Header.Get("Primroseladder-Request-Id")
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nPrimroseladder-Request-Id: %s\r\nPrimroseladder-Instance-Id: %s\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), id, b.id, len(body))
	if hasRun {
		head += "Primroseladder-Response-Signature: " + signatureOf(b.id, id) + "\r\n"
	} else {
		head += "Primroseladder-Not-Executed: 1\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err == nil
}

func signatureOf(server, id string) string { return server + "." + id }

func (b *backend) close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}

// describe names the end of a connection.
func describe(err error) string {
	var timeout net.Error
	switch {
	case err == nil:
		return "no error"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed by the gateway"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timed out"
	default:
		return err.Error()
	}
}
