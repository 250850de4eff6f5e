package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/standin/memstore"
	"github.com/primroseladder/primroseladder/internal/store"
)

// attempt is the result of one call of Append.
type attempt struct {
	change *catalogue.Change
	err    error
}

// appendConcurrently lets several writers append a change at each of the same revisions, and returns all results.
func appendConcurrently(service *memstore.Service, writers, revisions int, timeout time.Duration) []attempt {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var attempts []attempt
	for w := range writers {
		wg.Go(func() {
			for r := range revisions {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				c := &catalogue.Change{Revision: uint64(r + 1), OperationID: fmt.Sprintf("w%d-r%d", w, r)}
				err := store.NewChangeLog(service).Append(ctx, c)
				cancel()
				mu.Lock()
				attempts = append(attempts, attempt{c, err})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return attempts
}

// checkOutcomes compares the results that the writers received with the final content of the store.
func checkOutcomes(service *memstore.Service, attempts []attempt) error {
	accepted := map[uint64]int{}
	for _, a := range attempts {
		stored, err := store.NewChangeLog(service).Read(context.Background(), a.change.Revision)
		if err != nil {
			return err
		}
		isStored := stored != nil && stored.OperationID == a.change.OperationID
		if isStored {
			accepted[a.change.Revision]++
		}
		isUnknown := errors.Is(a.err, store.ErrOutcomeUnknown)
		if a.err == nil && !isStored {
			return fmt.Errorf("%s was reported as accepted and is not stored", a.change.OperationID)
		}
		if a.err != nil && !isUnknown && isStored {
			return fmt.Errorf("%s failed with %w and is stored", a.change.OperationID, a.err)
		}
	}
	for revision, n := range accepted {
		if n != 1 {
			return fmt.Errorf("revision %d was accepted %d times", revision, n)
		}
	}
	return nil
}

// TestAppendNeverReportsWrongOutcome checks that Append never reports a wrong outcome, whichever responses are lost,
// however late writes take effect and whenever the store goes down. It also checks that at most one of several
// concurrent writers of a revision is accepted.
func TestAppendNeverReportsWrongOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := memstore.Fault{
			LostResponsePercent: rapid.IntRange(0, 50).Draw(rt, "lose"),
			LateWritePercent:    rapid.IntRange(0, 50).Draw(rt, "delay"),
			MaxLateness:         time.Duration(rapid.IntRange(1, 20).Draw(rt, "max delay s")) * time.Second,
			Lag:                 time.Duration(rapid.IntRange(0, 1000).Draw(rt, "lag ms")) * time.Millisecond,
		}
		downAfter := time.Duration(rapid.IntRange(0, 8000).Draw(rt, "down after ms")) * time.Millisecond
		seed := rapid.Uint64().Draw(rt, "seed")
		var failure error
		synctest.Test(t, func(*testing.T) {
			service := memstore.New(seed)
			service.SetFault(fault)
			time.AfterFunc(downAfter, func() { service.SetFault(memstore.Fault{Down: true}) })
			attempts := appendConcurrently(service, 3, 4, 5*time.Second)
			time.Sleep(downAfter + fault.MaxLateness)
			service.SetFault(memstore.Fault{})
			failure = checkOutcomes(service, attempts)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// TestAppendResolvesLostResponse checks that Append finds out the outcome after a lost response, and that it returns
// different errors for a late write and for an unreachable store.
func TestAppendResolvesLostResponse(t *testing.T) {
	cases := []struct {
		name  string
		fault memstore.Fault
		want  error
	}{
		{"no fault", memstore.Fault{}, nil},
		{"each response lost", memstore.Fault{LostResponsePercent: 100}, nil},
		{"each write late", memstore.Fault{LateWritePercent: 100, MaxLateness: time.Hour}, store.ErrOutcomeUnknown},
		{"half of the responses lost", memstore.Fault{LostResponsePercent: 50}, nil},
		{"down", memstore.Fault{Down: true}, store.ErrUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := memstore.New(1)
				service.SetFault(c.fault)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				err := store.NewChangeLog(service).Append(ctx, &catalogue.Change{Revision: 1, OperationID: "a"})
				qt.Check(t, errors.Is(err, c.want), qt.IsTrue, qt.Commentf("%v", err))
				time.Sleep(c.fault.MaxLateness)
			})
		})
	}
}
