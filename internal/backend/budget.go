package backend

import (
	"errors"
	"sync/atomic"
)

// ErrNoMemory means that the answers that are being received together exceed the memory for them.
var ErrNoMemory = errors.New("the answers being received exceed the memory for answers")

// ByteBudget limits the memory for the answers that several pools receive at the same time. A nil budget has no limit. It
// is safe for concurrent use.
type ByteBudget struct{ left atomic.Int64 }

// NewByteBudget returns a budget of the given number of bytes.
func NewByteBudget(bytes int64) *ByteBudget {
	b := &ByteBudget{}
	b.left.Store(bytes)
	return b
}

// take takes n bytes and reports whether there were as many.
func (b *ByteBudget) take(n int64) bool {
	if b == nil || b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *ByteBudget) giveBack(n int64) {
	if b != nil {
		b.left.Add(n)
	}
}
