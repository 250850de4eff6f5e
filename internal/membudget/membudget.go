// Package membudget bounds the memory that a process holds for what others send it and have not taken yet: bodies of requests,
// answers of backend servers, answers that slow callers have not read.
package membudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrExhausted means that the process holds as many bytes for others as it may.
var ErrExhausted = errors.New("the memory for requests and answers is used up")

// Budget counts the bytes that are held. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	left  atomic.Int64
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	b := &Budget{limit: bytes}
	b.left.Store(bytes)
	return b
}

// Take takes n bytes and reports whether there were as many.
func (b *Budget) Take(n int64) bool {
	if b == nil || b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Charge takes n bytes that are held already, whether or not there were as many. Take fails until they are given back.
func (b *Budget) Charge(n int64) {
	if b != nil {
		b.left.Add(-n)
	}
}

// GiveBack returns n bytes.
func (b *Budget) GiveBack(n int64) {
	if b != nil {
		b.left.Add(n)
	}
}

// Has reports whether a body of n bytes can be taken now.
func (b *Budget) Has(n int64) bool { return b == nil || b.left.Load()-n >= b.reserveFor(n) }

// reserveFor returns what must be left once a body of n bytes has been taken: a few large bodies leave room for small ones.
func (b *Budget) reserveFor(n int64) int64 {
	if n <= smallBytes {
		return 0
	}
	return b.limit / 4
}

// takeBody takes the memory of a body of n bytes.
func (b *Budget) takeBody(n int64) bool {
	if b == nil || b.left.Add(-n) >= b.reserveFor(n) {
		return true
	}
	b.left.Add(n)
	return false
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.limit - b.left.Load()
}

const (
	// smallBytes is the size up to which a body may use the last quarter of a budget.
	smallBytes = 64 << 10
	// firstBytes is the size of the first buffer for a body of unknown length.
	firstBytes = 4 << 10
)

// ReadAll reads a body of at most limit bytes and takes its memory from the budget. length is the announced length, negative if it is
// unknown. held is what it has taken and the caller must give back. After ErrExhausted or another error, the body is incomplete.
func (b *Budget) ReadAll(r io.Reader, length, limit int64) (body []byte, held int64, err error) {
	if length >= 0 {
		return b.readKnown(r, length)
	}
	return b.readUnknown(r, limit)
}

// readKnown takes the memory for the whole body before it reads, so that a body that does not fit is refused unread.
func (b *Budget) readKnown(r io.Reader, length int64) (body []byte, held int64, err error) {
	if !b.takeBody(length) {
		return nil, 0, ErrExhausted
	}
	body = make([]byte, length)
	n, err := io.ReadFull(r, body)
	if errors.Is(err, io.EOF) && length > 0 {
		err = io.ErrUnexpectedEOF
	}
	return body[:n], length, err
}

// readUnknown reads until the end, or one byte more than limit. Its buffer grows by copying, so that both the old and the new one are
// taken for a moment.
func (b *Budget) readUnknown(r io.Reader, limit int64) (body []byte, held int64, err error) {
	r = io.LimitReader(r, limit+1)
	for {
		if len(body) == cap(body) {
			grown := max(int64(firstBytes), 2*int64(cap(body)))
			if !b.takeBody(grown) {
				return body, held, ErrExhausted
			}
			body = append(make([]byte, 0, grown), body...)
			b.GiveBack(held)
			held = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, held, nil
		case err != nil:
			return body, held, err
		}
	}
}
