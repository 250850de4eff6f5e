package catalogue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestRevisionNeverGoesDown applies changes and snapshots of two histories in random order. It checks that the revision
// does not decrease, and that a change of one history is not applied to the other.
func TestRevisionNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		state := NewState()
		operation := func(history, revision int) string {
			// Both histories are identical up to revision 3.
			if revision <= 3 {
				history = 0
			}
			return fmt.Sprintf("%d-%d", history, revision)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			history := rapid.IntRange(0, 1).Draw(rt, "history")
			revision := rapid.IntRange(1, 8).Draw(rt, "revision")
			before, beforeOperation := state.Position()
			if rapid.IntRange(0, 9).Draw(rt, "kind") == 0 {
				state.Replace(uint64(revision), operation(history, revision), nil)
			} else {
				_, _ = state.Apply(&Change{
					Revision: uint64(revision), OperationID: operation(history, revision),
					PreviousOperationID: operation(history, revision-1),
				})
			}
			after, afterOperation := state.Position()
			if after < before {
				rt.Fatalf("revision decreased from %d to %d", before, after)
			}
			if after == before && afterOperation != beforeOperation {
				rt.Fatalf("revision %d changed from %s to %s", after, beforeOperation, afterOperation)
			}
			if after == before+1 && before > 3 && afterOperation[0] != beforeOperation[0] && state.historySize > 0 {
				rt.Fatalf("a change of history %c was applied to history %c", afterOperation[0], beforeOperation[0])
			}
		}
	})
}
