package membudget_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/membudget"
)

const kilobyte = 1 << 10

func TestBodiesTakeWhatTheyHold(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 700*kilobyte)
	for _, length := range []int64{int64(len(body)), -1} {
		c := qt.New(t)
		b := membudget.New(4096 * kilobyte)
		got, held, err := b.ReadAll(iotest.HalfReader(bytes.NewReader(body)), length, 1<<20)
		c.Assert(err, qt.IsNil)
		c.Check(bytes.Equal(got, body), qt.IsTrue)
		c.Check(held >= int64(len(body)) && held <= 2*int64(len(body)), qt.IsTrue, qt.Commentf("%d", held))
		c.Check(b.Used(), qt.Equals, held)
		b.GiveBack(held)
		c.Check(b.Used(), qt.Equals, int64(0))
	}
}

func TestNoMoreIsHeldThanTheBudget(t *testing.T) {
	c := qt.New(t)
	b := membudget.New(500 * kilobyte)
	reads := 0
	counting := readerFunc(func(p []byte) (int, error) {
		reads++
		return len(p), nil
	})
	_, held, err := b.ReadAll(counting, 700*kilobyte, 1<<20)
	c.Check(err, qt.Equals, membudget.ErrExhausted)
	c.Check(held, qt.Equals, int64(0))
	c.Check(reads, qt.Equals, 0, qt.Commentf("an announced body that does not fit is not read"))
	_, held, err = b.ReadAll(counting, -1, 1<<30)
	c.Check(err, qt.Equals, membudget.ErrExhausted)
	c.Check(b.Used(), qt.Equals, held)
	c.Check(b.Has(300*kilobyte), qt.IsFalse, qt.Commentf("a large body leaves room for small ones"))
	c.Check(b.Has(kilobyte), qt.IsTrue)
	b.GiveBack(held)
	b.Charge(600 * kilobyte)
	c.Check(b.Take(1), qt.IsFalse)
	b.GiveBack(600 * kilobyte)
	c.Check(b.Take(1), qt.IsTrue)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	b := membudget.New(500 * kilobyte)
	_, _, err := b.ReadAll(bytes.NewReader(make([]byte, 10)), 20, 1<<20)
	qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
