package once_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// settledMemory returns the memory of the only VM of a fleet, once that VM is authoritative for all keys.
func settledMemory(maxKeys int) *once.Memory {
	homeTracker := once.NewHomeTracker("entry-0", window)
	m := once.NewMemory(window, maxKeys, homeTracker)
	homeTracker.ObserveList(fleet.NewView(1, []fleet.VM{{Name: "entry-0", Role: fleet.RoleEntry, State: fleet.StateLive}}))
	homeTracker.ConfirmList(time.Now())
	for range 26 {
		time.Sleep(syncPeriod)
		homeTracker.ConfirmList(time.Now())
	}
	return m
}

func unnumbered(key, claim string) once.Send {
	return once.Send{Key: once.Key{Scope: once.ScopeFleet, Key: key}, ClaimID: claim, Timeout: sendTimeout}
}

func numbered(n, through uint32, claim string) once.Send {
	s := unnumbered("k", claim)
	s.Key.Scope = once.ScopeRegion
	s.Number, s.NotRunThrough = n, through
	return s
}

func claim(m *once.Memory, s once.Send) once.Verdict {
	v, _ := m.Claim(s)
	return v
}

func lookup(m *once.Memory, s once.Send) once.Verdict {
	v, _ := m.Lookup(context.Background(), s)
	return v
}

func TestClaimAfterResult(t *testing.T) {
	for _, test := range []struct {
		name   string
		result outcome.Outcome
		next   once.Send
		want   once.Verdict
	}{
		{"the same send again", outcome.Done, numbered(1, 0, "b"), once.VerdictRemembered},
		{"the same send again, not run", outcome.NotRun, numbered(1, 0, "b"), once.VerdictNotRun},
		{"a new first send", outcome.NotRun, numbered(2, 1, "b"), once.VerdictGranted},
		{"a first send after an unknown one", outcome.Unknown, numbered(2, 1, "b"), once.VerdictUnknown},
		{"a re-send", outcome.NotRun, numbered(2, 0, "b"), once.VerdictNotRun},
		{"another organisation", outcome.Done, func() once.Send {
			s := numbered(1, 0, "b")
			s.Key.Organisation = "other"
			return s
		}(), once.VerdictGranted},
		{"another body", outcome.Done, func() once.Send {
			s := numbered(1, 0, "b")
			s.BodyDigest = 7
			return s
		}(), once.VerdictMismatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := settledMemory(100)
				first := numbered(1, 0, "a")
				qt.Assert(t, claim(m, first), qt.Equals, once.VerdictGranted)
				qt.Assert(t, claim(m, first), qt.Equals, once.VerdictGranted, qt.Commentf("repeated claim of one dispatcher"))
				qt.Assert(t, claim(m, numbered(1, 0, "x")), qt.Equals, once.VerdictPending)
				m.Complete(first, test.result, once.Answer{})
				qt.Assert(t, claim(m, test.next), qt.Equals, test.want)
			})
		})
	}
}

// TestResultAppliesOnlyToItsClaim guards against ending a pending send by the result of another claim of its key.
func TestResultAppliesOnlyToItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := settledMemory(100)
		claim(m, unnumbered("k", "a"))
		m.Complete(unnumbered("k", "b"), outcome.NotRun, once.Answer{})
		qt.Assert(t, claim(m, unnumbered("k", "c")), qt.Equals, once.VerdictPending)
	})
}

func TestSealedMemoryGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := settledMemory(100)
		m.Seal()
		qt.Assert(t, claim(m, unnumbered("k", "a")), qt.Equals, once.VerdictSealed)
		qt.Assert(t, claim(m, numbered(1, 0, "a")), qt.Equals, once.VerdictSealed)
		qt.Assert(t, m.Import([]once.ExportedRecord{{Send: numbered(1, 0, "a")}}), qt.IsFalse)
	})
}

func TestPendingSendOfLostEntryBecomesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := settledMemory(100)
		claim(m, numbered(1, 0, "a"))
		begin := time.Now()
		qt.Assert(t, lookup(m, numbered(2, 0, "b")), qt.Equals, once.VerdictUnknown)
		qt.Assert(t, time.Since(begin), qt.Equals, sendTimeout+time.Second)
		qt.Assert(t, claim(m, numbered(1, 0, "c")), qt.Equals, once.VerdictUnknown)
	})
}

// TestNoGrantAfterEviction guards against a second run of a key whose record was evicted from a full memory.
func TestNoGrantAfterEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := settledMemory(64)
		for i := range 1000 {
			s := unnumbered(fmt.Sprint("key-", i), "a")
			if claim(m, s) != once.VerdictGranted {
				continue
			}
			m.Complete(s, outcome.Done, once.Answer{})
		}
		qt.Assert(t, m.Len() <= 64, qt.IsTrue)
		for i := range 1000 {
			v := claim(m, unnumbered(fmt.Sprint("key-", i), "b"))
			qt.Assert(t, v, qt.Not(qt.Equals), once.VerdictGranted, qt.Commentf("key %d", i))
		}
	})
}

func TestLongAnswersAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := settledMemory(1 << 20)
		body := []byte(strings.Repeat("x", 16<<10))
		kept := 0
		for i := range 1000 {
			s := numbered(1, 0, "a")
			s.Key.Key = fmt.Sprint(i)
			claim(m, s)
			m.Complete(s, outcome.Done, once.Answer{Body: body, BodyKept: true})
			if _, a := m.Lookup(context.Background(), s); a.BodyKept {
				kept++
			}
		}
		qt.Assert(t, kept, qt.Equals, 1000)
		s := numbered(1, 0, "long")
		claim(m, s)
		m.Complete(s, outcome.Done, once.Answer{Body: append(body, 'x'), BodyKept: true})
		v, a := m.Lookup(context.Background(), numbered(2, 0, "b"))
		qt.Assert(t, v, qt.Equals, once.VerdictRemembered)
		qt.Assert(t, a.BodyKept, qt.IsFalse)
	})
}

// TestImportKeepsStricterRecord guards against a grant based on a copy that missed the last send of a key: of the known and
// the imported record, the one that allows less must stay.
func TestImportKeepsStricterRecord(t *testing.T) {
	for _, test := range []struct {
		known, imported outcome.Outcome
		want            once.Verdict
	}{
		{outcome.NotRun, outcome.Done, once.VerdictRemembered},
		{outcome.NotRun, "", once.VerdictPending},
		{outcome.Done, outcome.NotRun, once.VerdictRemembered},
		{outcome.Unknown, outcome.NotRun, once.VerdictUnknown},
	} {
		t.Run(fmt.Sprintf("%s,%s", test.known, test.imported), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := settledMemory(100)
				first := unnumbered("k", "a")
				claim(m, first)
				m.Complete(first, test.known, once.Answer{})
				m.Import([]once.ExportedRecord{{Send: unnumbered("k", "b"), Result: test.imported}})
				qt.Assert(t, claim(m, unnumbered("k", "c")), qt.Equals, test.want)
			})
		})
	}
}

// BenchmarkKeyBytes measures the heap bytes of a recorded key, without and with an answer body.
func BenchmarkKeyBytes(b *testing.B) {
	const keys = 100_000
	for _, bodyBytes := range []int{0, 200} {
		b.Run(fmt.Sprintf("body=%d", bodyBytes), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := once.NewMemory(time.Hour, keys*2, once.NewHomeTracker("entry-0", time.Hour))
				for i := range keys {
					s := numbered(1, 0, fmt.Sprintf("%032x", i))
					s.Key.Key, s.Key.Organisation, s.Key.Service = fmt.Sprintf("%032x", i), "org-17", "deposits"
					m.Claim(s)
					m.Complete(s, outcome.Done, once.Answer{Status: 200, Body: make([]byte, bodyBytes), BodyKept: true})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "bytes/key")
				runtime.KeepAlive(m)
			}
		})
	}
}
